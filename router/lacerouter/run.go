package lacerouter

import (
	"context"
	"io"
	"os/signal"
	"syscall"

	"github.com/pkg/errors"

	"lacewingcove/lib/lacesetting"
)

// The exit codes of the router program.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// Run starts an instance with the settings of a command line and stops it at SIGTERM or SIGINT.
func Run(args []string, stderr io.Writer) int {
	settings, rest, err := lacesetting.Load("router", args, stderr)
	switch {
	case errors.Is(err, lacesetting.ErrHelp):
		return exitOK
	case err != nil:
		_, _ = io.WriteString(stderr, err.Error()+"\n")
		return exitUsage
	case len(rest) > 0:
		_, _ = io.WriteString(stderr, "router: unexpected argument "+rest[0]+"\n")
		return exitUsage
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	logger := newLogger(stderr, settings.Log).WithValues("instance", settings.Instance)
	instance := New(settings, logger)
	if err := instance.Start(ctx); err != nil {
		logger.Error(err, "not started")
		return exitFailed
	}
	code := exitOK
	select {
	case <-ctx.Done():
	case <-instance.Stopping():
	case <-instance.Expelled():
		// The membership has removed this incarnation; the process manager starts a new one.
		logger.Info("removed from the membership")
		code = exitFailed
	}
	if err := instance.Stop(context.Background()); err != nil {
		logger.Error(err, "stop")
		return exitFailed
	}
	return code
}
