package lacerouter

import (
	"context"
	"io"
	"os"
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
	// Registered before the start, because a SIGHUP that nobody has registered for ends the process.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	logger := newLogger(stderr, settings.Log).WithValues("instance", settings.Instance)
	instance := New(settings, logger)
	if err := instance.Start(ctx); err != nil {
		logger.Error(err, "not started")
		return exitFailed
	}
	code := wait(ctx, instance, reload)
	if err := instance.Stop(context.Background()); err != nil {
		logger.Error(err, "stop")
		return exitFailed
	}
	return code
}

// wait returns when the instance is to stop, with the exit code of the process; until then it reloads files on demand.
func wait(ctx context.Context, instance *Instance, reload <-chan os.Signal) int {
	for {
		select {
		case <-reload:
			instance.Reload()
		case <-ctx.Done():
			return exitOK
		case <-instance.StopRequested():
			return exitOK
		case <-instance.Expelled():
			// The membership has removed this incarnation; the process manager starts a new one.
			instance.logger.Info("removed from the membership")
			return exitFailed
		}
	}
}
