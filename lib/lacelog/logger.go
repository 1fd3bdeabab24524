package lacelog

import (
	"io"
	"log/slog"
	"sync"
	"sync/atomic"

	"github.com/go-logr/logr"
	"golang.org/x/time/rate"
)

const (
	// bufferLines bounds the lines that wait for the writer, about 1 MB.
	bufferLines = 4096
	// ordinaryRate is how many lines a second an event of ordinary requests may write at one instance; the design size
	// gives an instance about 10 requests a second.
	ordinaryRate = 60
	// urgentRate is the same for refusals and failures.
	urgentRate = 200
	// burstSeconds is how long an event may exceed its rate.
	burstSeconds = 2
)

// Pair is a field with its value.
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

// Logger writes one structured line an event.
type Logger struct {
	log    logr.Logger
	writer *writer

	mu     sync.Mutex
	limits map[Event]*limit
}

type limit struct {
	rate    *rate.Limiter
	skipped int
}

// New returns a logger that writes JSON lines with the instance's name.
func New(w io.Writer, instance string) *Logger {
	out := newWriter(w)
	return &Logger{
		log:    logr.FromSlogHandler(slog.NewJSONHandler(out, nil)).WithValues("instance", instance),
		writer: out,
		limits: map[Event]*limit{},
	}
}

// Over returns a logger that writes through another one, whose output is its owner's; Close has nothing to do.
func FromLogr(log logr.Logger) *Logger {
	return &Logger{
		log:    log,
		limits: map[Event]*limit{},
	}
}

// Discard returns a logger that writes nothing.
func Discard() *Logger { return New(io.Discard, "") }

// Logr returns the logger for libraries.
func (l *Logger) Logr() logr.Logger { return l.log }

// Dropped returns how many lines were lost because the buffer was full.
func (l *Logger) Dropped() uint64 {
	if l.writer == nil {
		return 0
	}
	return l.writer.dropped.Load()
}

// Close writes what is buffered and waits for it.
func (l *Logger) Close() error {
	if l.writer != nil {
		l.writer.close()
	}
	return nil
}

// Write writes a line about a decision or a change.
func (l *Logger) Write(event Event, pairs ...Pair) {
	skipped, ok := l.allow(event)
	if !ok {
		return
	}
	values := make([]any, 0, 2*len(pairs)+2)
	for _, p := range pairs {
		values = append(values, string(p.Field), p.Value)
	}
	if skipped > 0 {
		values = append(values, string(Suppressed), skipped)
	}
	l.log.Info(string(event), values...)
}

// Fault writes a line about an error that no caller sees.
func (l *Logger) Error(err error, reason string, pairs ...Pair) {
	l.Write(InternalError, append([]Pair{P(Reason, reason), P("error", err.Error())}, pairs...)...)
}

func (l *Logger) allow(event Event) (skipped int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	x := l.limits[event]
	if x == nil {
		n := ordinaryRate
		if event == RequestRejected || event == Attempt || event == Done {
			n = urgentRate
		}
		x = &limit{rate: rate.NewLimiter(rate.Limit(n), n*burstSeconds)}
		l.limits[event] = x
	}
	if !x.rate.Allow() {
		x.skipped++
		return 0, false
	}
	skipped, x.skipped = x.skipped, 0
	return skipped, true
}

// writer passes lines to a slow output without blocking.
type writer struct {
	out     io.Writer
	lines   chan []byte
	done    chan struct{}
	once    sync.Once
	stop    chan struct{}
	dropped atomic.Uint64
}

func newWriter(out io.Writer) *writer {
	w := &writer{
		out:   out,
		lines: make(chan []byte, bufferLines),
		done:  make(chan struct{}),
		stop:  make(chan struct{}),
	}
	go w.run()
	return w
}

// Write implements io.Writer.
func (w *writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

func (w *writer) run() {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			w.put(line)
		case <-w.stop:
			w.flush()
			return
		}
	}
}

func (w *writer) flush() {
	for {
		select {
		case line := <-w.lines:
			w.put(line)
		default:
			return
		}
	}
}

func (w *writer) put(line []byte) {
	if _, err := w.out.Write(line); err != nil {
		w.dropped.Add(1)
	}
}

func (w *writer) close() {
	w.once.Do(func() { close(w.stop) })
	<-w.done
}
