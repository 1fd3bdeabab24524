package laceemulator

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// requestHeader and attemptHeader name a request and one attempt at it; both are echoed.
	requestHeader = "Lace-Request"
	attemptHeader = "Lace-Attempt"
	// keptRuns bounds the request ids that a service counts, so that a long load test can't exhaust the memory.
	keptRuns = 1 << 20
	// maxPadding bounds the size that a caller may ask an answer to have.
	maxPadding = 1 << 20
)

// ServiceSetting describes a plain service.
type ServiceOptions struct {
	// Work is how long a call takes.
	ServiceTime time.Duration
	// Lookup services answer for request ids.
	SupportsLookup bool
	Seed           uint64
	Faults         ServerFaults
}

// Service is an emulated plain service. It runs every call that reaches it and counts how often each request id ran.
type Service struct {
	*mishaps
	setting ServiceOptions
	mu      sync.Mutex
	runs    map[string]*serviceRun
	calls   int64
	dropped int64
	last    serviceReply
}

// serviceRun is what a service knows of one request id.
type serviceRun struct {
	count  int
	active int
}

// serviceReply is an answer with the ids that it belongs to.
type serviceReply struct {
	request string
	attempt string
	body    []byte
}

// NewService returns a service.
func NewService(setting ServiceOptions) *Service {
	return &Service{
		mishaps: newMishaps(setting.Seed, setting.Faults),
		setting: setting,
		runs:    map[string]*serviceRun{},
	}
}

// Handler returns the backend protocol of plain services; every path that it does not name is a call.
func (s *Service) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /v1/requests/{id...}", s.request)
	m.HandleFunc("GET /v1/counts", s.counts)
	m.HandleFunc("/", s.serve)
	return withFaults(s.mishaps, m)
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	body, err := readBody(w, r)
	if err != nil {
		refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	m := s.draw()
	reply := serviceReply{
		request: r.Header.Get(requestHeader),
		attempt: r.Header.Get(attemptHeader),
	}
	switch {
	case m.refused:
		refuse(w, http.StatusServiceUnavailable, "refused")
		return
	case reply.request == "" || reply.attempt == "":
		refuse(w, http.StatusBadRequest, requestHeader+" or "+attemptHeader+" is missing")
		return
	}
	size, _ := strconv.Atoi(r.URL.Query().Get("size")) // Absent means no padding.
	reply.body = ServiceResponse(r.Method, r.URL.RequestURI(), body, min(size, maxPadding))
	// A call that has arrived runs to its end, whether the client stays or not.
	s.run(context.WithoutCancel(r.Context()), reply.request, s.setting.ServiceTime+m.slow)
	if sleep(r.Context(), m.late) != nil {
		return
	}
	s.answer(w, reply, m)
}

// run counts a call and takes the time that it needs.
func (s *Service) run(ctx context.Context, request string, work time.Duration) {
	s.mu.Lock()
	s.calls++
	r := s.runs[request]
	if r == nil {
		r = &serviceRun{}
		if len(s.runs) < keptRuns {
			s.runs[request] = r
		} else {
			s.dropped++
		}
	}
	r.count++
	r.active++
	s.mu.Unlock()
	_ = sleep(ctx, work)
	s.mu.Lock()
	r.active--
	s.mu.Unlock()
}

// answer sends a reply as the faults say.
func (s *Service) answer(w http.ResponseWriter, reply serviceReply, m mishap) {
	s.mu.Lock()
	last := s.last
	s.last = reply
	s.mu.Unlock()
	if m.crossed {
		if last.request == "" || last.request == reply.request {
			last = serviceReply{
				request: reply.request,
				attempt: "crossed/" + reply.attempt,
				body:    ServiceResponse("", "", []byte(reply.attempt), 0),
			}
		}
		reply = last
	}
	h := w.Header()
	h.Set(requestHeader, reply.request)
	h.Set(attemptHeader, reply.attempt)
	h.Set("Content-Type", "application/json")
	size := len(reply.body)
	if m.length {
		size += 8
	}
	h.Set("Content-Length", strconv.Itoa(size))
	if m.cut {
		_, _ = w.Write(reply.body[:int(m.place*float64(len(reply.body)))])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(reply.body) // A client that left can't be told.
}

func (s *Service) request(w http.ResponseWriter, r *http.Request) {
	if !s.setting.SupportsLookup {
		refuse(w, http.StatusNotImplemented, "the service does not answer for request ids")
		return
	}
	id := r.PathValue("id")
	s.mu.Lock()
	known := s.runs[id]
	a := requestState{
		Request: id,
		State:   string(jobDone),
	}
	if known != nil {
		a.Runs = known.count
		if known.active > 0 {
			a.State = string(jobRunning)
		}
	}
	s.mu.Unlock()
	if known == nil {
		refuse(w, http.StatusNotFound, "request is not known")
		return
	}
	writeJSON(w, http.StatusOK, a)
}

// serviceCounts says how often each request id ran; Dropped are the calls whose ids were too many to keep.
type serviceCounts struct {
	Calls          int64          `json:"calls"`
	UntrackedCalls int64          `json:"dropped,omitempty"`
	Runs           map[string]int `json:"runs"`
}

func (s *Service) counts(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	c := serviceCounts{
		Calls:          s.calls,
		UntrackedCalls: s.dropped,
		Runs:           make(map[string]int, len(s.runs)),
	}
	for id, r := range s.runs {
		c.Runs[id] = r.count
	}
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, c)
}
