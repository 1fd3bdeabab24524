package lacecontrol

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// Main runs the command that os.Args names and returns the exit code of the process.
func Main() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return int(run(ctx, environment{
		stdin:  os.Stdin,
		stdout: os.Stdout,
		stderr: os.Stderr,
		getenv: os.Getenv,
	}, os.Args[1:]))
}
