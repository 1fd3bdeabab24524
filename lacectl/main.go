// Command lacectl is the operators' command line of a lacewingcove fleet; docs/admin.md describes it.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, environment{
		in:  os.Stdin,
		out: os.Stdout,
		err: os.Stderr,
		get: os.Getenv,
	}, os.Args[1:])
	stop()
	os.Exit(int(code))
}
