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
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

// Run starts an instance with the settings of a command line and stops it on SIGTERM or SIGINT. It returns the exit
// code.
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
	// SIGHUP is registered before the start, because an unhandled SIGHUP terminates the process.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	logger := newLogger(stderr, settings.Log).WithValues("instance", settings.Instance)
	instance := New(settings, logger)
	if err := instance.Start(ctx); err != nil {
		logger.Error(err, "start failed")
		return exitFailure
	}
	code := wait(ctx, instance, reload)
	if err := instance.Stop(context.Background()); err != nil {
		logger.Error(err, "stop")
		return exitFailure
	}
	return code
}

// wait blocks until the instance has to stop and returns the exit code of the process. It reloads files on SIGHUP.
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
			// This incarnation was removed from the membership; the process manager starts a new one.
			instance.logger.Info("removed from the membership")
			return exitFailure
		}
	}
}
