package lacerouter

import (
	"os"
	"sync"

	"github.com/pkg/errors"
)

// traceFile appends to a file that can be rotated: it can be renamed and reopened while the process runs.
type traceFile struct {
	path string

	mu   sync.Mutex
	file *os.File
}

func newTraceFile(path string) (*traceFile, error) {
	t := &traceFile{path: path}
	return t, t.reopen()
}

// reopen opens the path again. If that fails, the previous file stays in use.
func (t *traceFile) reopen() error {
	// Traces contain responses to callers, so only the owner of the file may read them.
	file, err := os.OpenFile(t.path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "trace")
	}
	t.mu.Lock()
	previous := t.file
	t.file = file
	t.mu.Unlock()
	if previous == nil {
		return nil
	}
	return errors.Wrap(previous.Close(), "trace")
}

// Write implements io.Writer.
func (t *traceFile) Write(text []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	n, err := t.file.Write(text)
	return n, errors.Wrap(err, "trace")
}

// Close closes the file.
func (t *traceFile) Close() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	return errors.Wrap(t.file.Close(), "trace")
}
