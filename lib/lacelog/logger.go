package lacelog

import (
	"io"
	"log/slog"
	"reflect"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/go-logr/logr"
	"golang.org/x/time/rate"
)

const (
	// bufferLines is the capacity of the buffer of lines to be written, about 1 MB.
	bufferLines = 4096
	// defaultRate is the rate limit of an event type at one instance, in lines per second; at the design scale, an
	// instance receives about 10 requests per second.
	defaultRate = 60
	// priorityRate is the same for the event types that report rejections and failures: the outcomes of attempts and
	// requests.
	priorityRate = 200
	// burstSeconds is the burst that an event type is allowed, in seconds at its rate limit.
	burstSeconds = 2
	// maxTextBytes bounds the length of a text value, truncationMark is appended to a longer one.
	maxTextBytes   = 512
	truncationMark = "..."
)

// Pair is the key of a field with its value.
type Pair struct {
	Field Field
	Value any
}

// P returns a pair.
func P(field Field, value any) Pair {
	return Pair{
		Field: field,
		Value: value,
	}
}

// Logger writes one structured line for each event.
type Logger struct {
	log    logr.Logger
	writer *asyncWriter

	mu     sync.Mutex
	limits map[Event]*eventLimit
}

// eventLimit is the rate limit of an event type.
type eventLimit struct {
	limiter    *rate.Limiter
	suppressed int
}

// New returns a logger that writes JSON lines with the instance's ID to w.
func New(w io.Writer, instance string) *Logger {
	out := newAsyncWriter(w)
	return &Logger{
		log:    logr.FromSlogHandler(slog.NewJSONHandler(out, nil)).WithValues("instance", instance),
		writer: out,
		limits: map[Event]*eventLimit{},
	}
}

// FromLogr returns a logger that writes to log. It does not own the output, so Close does nothing.
func FromLogr(log logr.Logger) *Logger {
	return &Logger{
		log:    log,
		limits: map[Event]*eventLimit{},
	}
}

// Discard returns a logger that writes nothing.
func Discard() *Logger { return New(io.Discard, "") }

// Logr returns the underlying logger, for libraries; it has no rate limits.
func (l *Logger) Logr() logr.Logger { return l.log }

// Dropped returns the number of lines that were lost because the buffer was full or the output failed.
func (l *Logger) Dropped() uint64 {
	if l.writer == nil {
		return 0
	}
	return l.writer.dropped.Load()
}

// Close flushes the buffer and waits for the writer to end.
func (l *Logger) Close() error {
	if l.writer != nil {
		l.writer.close()
	}
	return nil
}

// Write writes the line of an event, unless the rate limit of its type suppresses it.
func (l *Logger) Write(event Event, pairs ...Pair) {
	suppressed, ok := l.allow(event)
	if !ok {
		return
	}
	values := make([]any, 0, 2*len(pairs)+2)
	for _, p := range pairs {
		values = append(values, string(p.Field), truncate(p.Value))
	}
	if suppressed > 0 {
		values = append(values, string(Suppressed), suppressed)
	}
	l.log.Info(string(event), values...)
}

// truncate shortens long text, of which callers, servers and entries of the store choose the length.
func truncate(value any) any {
	v := reflect.ValueOf(value)
	if v.Kind() != reflect.String || v.Len() <= maxTextBytes {
		return value
	}
	return strings.ToValidUTF8(v.String()[:maxTextBytes], "") + truncationMark
}

// Error writes an InternalError line.
func (l *Logger) Error(err error, reason string, pairs ...Pair) {
	l.Write(InternalError, append([]Pair{P(Reason, reason), P("error", err.Error())}, pairs...)...)
}

// allow reports whether a line may be written, and how many lines of the type were suppressed since the last one.
func (l *Logger) allow(event Event) (suppressed int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit := l.limits[event]
	if limit == nil {
		n := defaultRate
		if event == RequestRejected || event == Attempt || event == Done {
			n = priorityRate
		}
		limit = &eventLimit{limiter: rate.NewLimiter(rate.Limit(n), n*burstSeconds)}
		l.limits[event] = limit
	}
	if !limit.limiter.Allow() {
		limit.suppressed++
		return 0, false
	}
	suppressed, limit.suppressed = limit.suppressed, 0
	return suppressed, true
}

// asyncWriter writes lines in the background, so that a slow output does not block the caller.
type asyncWriter struct {
	out     io.Writer
	lines   chan []byte
	done    chan struct{}
	once    sync.Once
	stop    chan struct{}
	dropped atomic.Uint64
}

func newAsyncWriter(out io.Writer) *asyncWriter {
	w := &asyncWriter{
		out:   out,
		lines: make(chan []byte, bufferLines),
		done:  make(chan struct{}),
		stop:  make(chan struct{}),
	}
	go w.run()
	return w
}

// Write implements io.Writer.
func (w *asyncWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

func (w *asyncWriter) run() {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			w.writeLine(line)
		case <-w.stop:
			w.flush()
			return
		}
	}
}

func (w *asyncWriter) flush() {
	for {
		select {
		case line := <-w.lines:
			w.writeLine(line)
		default:
			return
		}
	}
}

func (w *asyncWriter) writeLine(line []byte) {
	if _, err := w.out.Write(line); err != nil {
		w.dropped.Add(1)
	}
}

func (w *asyncWriter) close() {
	w.once.Do(func() { close(w.stop) })
	<-w.done
}
