package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store, as PROTOCOL.md describes it.
type item struct {
	Key        string `json:"key"`
	Value      []byte `json:"value,omitempty"`
	Revision   int64  `json:"revision"`
	CreatedRev int64  `json:"created_rev,omitempty"`
	Lease      int64  `json:"lease,omitempty"`
	Removed    bool   `json:"removed,omitempty"`
}

type lease struct {
	ttl time.Duration
	end time.Time
}

// store is a stand-in for the platform's metadata store: linearizable, with one revision counter.
type store struct {
	mu      sync.Mutex
	rev     int64
	items   map[string]item
	history []item
	leases  map[int64]*lease
	next    int64
	changed chan struct{}
	silent  bool
	server  *http.Server
	address string
}

func newStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{
		rev:     1,
		items:   map[string]item{},
		leases:  map[int64]*lease{},
		next:    100,
		changed: make(chan struct{}),
		address: l.Addr().String(),
	}
	s.server = &http.Server{Handler: s}
	go s.server.Serve(l)
	go func() {
		for range time.Tick(50 * time.Millisecond) {
			s.expire()
		}
	}()
	return s, nil
}

// setSilent makes the store leave all calls without an answer: "the platform's store is down", variant silent.
func (s *store) setSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) bump() int64 {
	s.rev++
	close(s.changed)
	s.changed = make(chan struct{})
	return s.rev
}

func (s *store) put(key string, value []byte, leaseID, rev int64) {
	x := item{Key: key, Value: value, Revision: rev, CreatedRev: rev, Lease: leaseID}
	if old, ok := s.items[key]; ok {
		x.CreatedRev = old.CreatedRev
	}
	s.items[key] = x
	s.history = append(s.history, x)
}

func (s *store) remove(key string, rev int64) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.history = append(s.history, item{Key: key, Revision: rev, Removed: true})
	}
}

// Put writes a key on behalf of the operator or a server.
func (s *store) Put(key string, value any) int64 {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	rev := s.bump()
	s.put(key, text, 0, rev)
	return rev
}

// Remove deletes a key on behalf of the platform.
func (s *store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key, s.bump())
}

// Get returns the value of a key.
func (s *store) Get(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

// expire ends the leases that are over. They pause while the store is down.
func (s *store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.silent {
		for _, l := range s.leases {
			l.end = l.end.Add(50 * time.Millisecond)
		}
		return
	}
	for id, l := range s.leases {
		if now.After(l.end) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)
	for key, x := range s.items {
		if x.Lease == id {
			s.remove(key, s.bump())
		}
	}
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	s.mu.Lock()
	silent := s.silent
	s.mu.Unlock()
	if silent {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	path := strings.TrimPrefix(r.URL.Path, "/lacewingcove/")
	if path == "kv-watch" {
		s.watch(w, r)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case path == "kv-key":
		x, ok := s.items[r.URL.Query().Get("key")]
		if !ok {
			answer(w, 404, nil)
			return
		}
		answer(w, 200, struct {
			item
			StoreRevision int64 `json:"store_revision"`
		}{x, s.rev})
	case path == "kv-range":
		items := []item{}
		for key, x := range s.items {
			if strings.HasPrefix(key, r.URL.Query().Get("path_prefix")) && key > r.URL.Query().Get("after") {
				items = append(items, x)
			}
		}
		sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
		answer(w, 200, map[string]any{"items": items, "has_more": false, "store_revision": s.rev})
	case path == "kv-txn":
		s.txn(w, body)
	case path == "kv-lease":
		var q struct {
			TTL int64 `json:"ttl_ms"`
		}
		json.Unmarshal(body, &q)
		s.next++
		ttl := time.Duration(max(q.TTL, 1000)) * time.Millisecond
		s.leases[s.next] = &lease{ttl: ttl, end: time.Now().Add(ttl)}
		answer(w, 200, map[string]any{"lease": s.next, "ttl_ms": ttl.Milliseconds()})
	case strings.HasPrefix(path, "kv-keep/"):
		id, _ := strconv.ParseInt(strings.TrimPrefix(path, "kv-keep/"), 10, 64)
		l := s.leases[id]
		if l == nil {
			answer(w, 404, nil)
			return
		}
		l.end = time.Now().Add(l.ttl)
		answer(w, 200, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
	case strings.HasPrefix(path, "kv-lease-end/"):
		id, _ := strconv.ParseInt(strings.TrimPrefix(path, "kv-lease-end/"), 10, 64)
		if s.leases[id] == nil {
			answer(w, 404, nil)
			return
		}
		s.endLease(id)
		answer(w, 200, map[string]any{})
	default:
		answer(w, 404, nil)
	}
}

func (s *store) txn(w http.ResponseWriter, body []byte) {
	var q struct {
		Expect []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"expect"`
		Puts []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"puts"`
		Remove []string `json:"remove"`
	}
	if err := json.Unmarshal(body, &q); err != nil {
		answer(w, 400, nil)
		return
	}
	conflict := false
	current := []item{}
	for _, e := range q.Expect {
		x, ok := s.items[e.Key]
		if !ok {
			x = item{Key: e.Key}
		}
		current = append(current, x)
		conflict = conflict || x.Revision != e.Revision
	}
	if conflict {
		answer(w, 412, map[string]any{"items": current})
		return
	}
	for _, p := range q.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			answer(w, 403, nil)
			return
		}
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			answer(w, 404, nil)
			return
		}
	}
	rev := s.bump()
	for _, p := range q.Puts {
		s.put(p.Key, p.Value, p.Lease, rev)
	}
	for _, key := range q.Remove {
		s.remove(key, rev)
	}
	answer(w, 200, map[string]any{"revision": rev})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("path_prefix")
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []item{}
		for _, x := range s.history {
			if x.Revision > after && strings.HasPrefix(x.Key, prefix) {
				events = append(events, x)
			}
		}
		rev, changed, silent := s.rev, s.changed, s.silent
		s.mu.Unlock()
		if silent {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		if len(events) > 0 {
			answer(w, 200, map[string]any{"events": events, "store_revision": rev})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			answer(w, 200, map[string]any{"events": events, "store_revision": rev})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if body != nil {
		json.NewEncoder(w).Encode(body)
	}
}
