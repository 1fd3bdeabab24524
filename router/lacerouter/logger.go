package lacerouter

import (
	"io"
	"log/slog"

	"github.com/go-logr/logr"

	"lacewingcove/lib/lacesetting"
)

// newLogger returns the process logger, a logr logger on the handlers of log/slog.
func newLogger(w io.Writer, settings lacesetting.Log) logr.Logger {
	options := &slog.HandlerOptions{Level: slogLevel(settings.Level)}
	if settings.Format == lacesetting.FormatJSON {
		return logr.FromSlogHandler(slog.NewJSONHandler(w, options))
	}
	return logr.FromSlogHandler(slog.NewTextHandler(w, options))
}

func slogLevel(l lacesetting.Level) slog.Level {
	switch l {
	case lacesetting.LevelError:
		return slog.LevelError
	case lacesetting.LevelDebug:
		return slog.LevelDebug
	default:
		return slog.LevelInfo
	}
}
