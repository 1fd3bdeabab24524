package lacecontrol

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// Main carries out the command line of the process and returns its exit code.
func Main() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return int(run(ctx, environment{
		in:  os.Stdin,
		out: os.Stdout,
		err: os.Stderr,
		get: os.Getenv,
	}, os.Args[1:]))
}
