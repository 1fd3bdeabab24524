package laceemulator

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// requestHeader and attemptHeader carry the ids of a request and of an attempt; both are echoed in the response.
	requestHeader = "Lace-Request"
	attemptHeader = "Lace-Attempt"
	// maxTrackedRequests bounds the request ids whose runs a service counts, so that a long load test can't exhaust the
	// memory.
	maxTrackedRequests = 1 << 20
	// maxPadding bounds the response size that a caller can request.
	maxPadding = 1 << 20
)

// ServiceOptions configure a plain service.
type ServiceOptions struct {
	// ServiceTime is the processing time of a call.
	ServiceTime time.Duration
	// SupportsLookup enables status lookups by request id.
	SupportsLookup bool
	Seed           uint64
	Faults         ServerFaults
}

// Service is an emulated plain service. It executes every call that it accepts, without deduplication, and counts the
// runs of each request id.
type Service struct {
	*faultInjector
	options        ServiceOptions
	mu             sync.Mutex
	runs           map[string]*requestRuns
	calls          int64
	untrackedCalls int64
	lastResponse   callResponse
}

// requestRuns are the counts of a request id: all runs, and those in progress.
type requestRuns struct {
	count  int
	active int
}

// callResponse is a response with the ids of its request and attempt.
type callResponse struct {
	requestID string
	attemptID string
	body      []byte
}

// NewService returns a service.
func NewService(options ServiceOptions) *Service {
	return &Service{
		faultInjector: newFaultInjector(options.Seed, options.Faults),
		options:       options,
		runs:          map[string]*requestRuns{},
	}
}

// Handler serves the backend protocol of plain services. Every path that is not part of the control API is a call.
func (s *Service) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /v1/requests/{id...}", s.getRequest)
	m.HandleFunc("GET /v1/counts", s.getCounts)
	m.HandleFunc("/", s.handleRequest)
	return withFaults(s.faultInjector, m)
}

func (s *Service) handleRequest(w http.ResponseWriter, r *http.Request) {
	body, err := readBody(w, r)
	if err != nil {
		reject(w, http.StatusBadRequest, err.Error())
		return
	}
	faults := s.drawFaults()
	resp := callResponse{
		requestID: r.Header.Get(requestHeader),
		attemptID: r.Header.Get(attemptHeader),
	}
	switch {
	case faults.rejected:
		reject(w, http.StatusServiceUnavailable, "refused")
		return
	case resp.requestID == "" || resp.attemptID == "":
		reject(w, http.StatusBadRequest, requestHeader+" or "+attemptHeader+" is missing")
		return
	}
	size, _ := strconv.Atoi(r.URL.Query().Get("size")) // Without the parameter, there is no padding.
	resp.body = ServiceResponse(r.Method, r.URL.RequestURI(), body, min(size, maxPadding))
	// An accepted call runs to completion even if its client disconnects.
	s.execute(context.WithoutCancel(r.Context()), resp.requestID, s.options.ServiceTime+faults.latency)
	if sleep(r.Context(), faults.delay) != nil {
		return
	}
	s.respond(w, resp, faults)
}

// execute counts a call and waits for its service time.
func (s *Service) execute(ctx context.Context, requestID string, serviceTime time.Duration) {
	s.mu.Lock()
	s.calls++
	runs := s.runs[requestID]
	if runs == nil {
		runs = &requestRuns{}
		if len(s.runs) < maxTrackedRequests {
			s.runs[requestID] = runs
		} else {
			s.untrackedCalls++
		}
	}
	runs.count++
	runs.active++
	s.mu.Unlock()
	_ = sleep(ctx, serviceTime)
	s.mu.Lock()
	runs.active--
	s.mu.Unlock()
}

// respond sends a response with the injected faults applied.
func (s *Service) respond(w http.ResponseWriter, resp callResponse, faults requestFaults) {
	s.mu.Lock()
	previous := s.lastResponse
	s.lastResponse = resp
	s.mu.Unlock()
	if faults.misrouted {
		if previous.requestID == "" || previous.requestID == resp.requestID {
			previous = callResponse{
				requestID: resp.requestID,
				attemptID: "crossed/" + resp.attemptID,
				body:      ServiceResponse("", "", []byte(resp.attemptID), 0),
			}
		}
		resp = previous
	}
	header := w.Header()
	header.Set(requestHeader, resp.requestID)
	header.Set(attemptHeader, resp.attemptID)
	header.Set("Content-Type", "application/json")
	size := len(resp.body)
	if faults.wrongLength {
		size += 8
	}
	header.Set("Content-Length", strconv.Itoa(size))
	if faults.truncated {
		_, _ = w.Write(resp.body[:int(faults.position*float64(len(resp.body)))])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(resp.body) // A write error means that the client has disconnected.
}

func (s *Service) getRequest(w http.ResponseWriter, r *http.Request) {
	if !s.options.SupportsLookup {
		reject(w, http.StatusNotImplemented, "the service does not answer for request ids")
		return
	}
	id := r.PathValue("id")
	s.mu.Lock()
	runs := s.runs[id]
	resp := requestState{
		Request: id,
		State:   string(jobDone),
	}
	if runs != nil {
		resp.Runs = runs.count
		if runs.active > 0 {
			resp.State = string(jobRunning)
		}
	}
	s.mu.Unlock()
	if runs == nil {
		reject(w, http.StatusNotFound, "request is not known")
		return
	}
	writeJSON(w, http.StatusOK, resp)
}

// serviceCounts are the runs by request id. UntrackedCalls are the calls whose request ids exceeded maxTrackedRequests.
type serviceCounts struct {
	Calls          int64          `json:"calls"`
	UntrackedCalls int64          `json:"dropped,omitempty"`
	Runs           map[string]int `json:"runs"`
}

func (s *Service) getCounts(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	resp := serviceCounts{
		Calls:          s.calls,
		UntrackedCalls: s.untrackedCalls,
		Runs:           make(map[string]int, len(s.runs)),
	}
	for id, r := range s.runs {
		resp.Runs[id] = r.count
	}
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, resp)
}
