package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an entry of the store; Removed is only set in events.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created_rev,omitempty"`
	Lease    int64  `json:"lease"`
	Removed  bool   `json:"removed,omitempty"`
}

// lease is a lease of the store.
type lease struct {
	ttl time.Duration
	end time.Time
}

// store is a stand-in of the platform's store: revisions, leases, watches and transactions.
type store struct {
	address string

	mu       sync.Mutex
	revision int64
	items    map[string]item
	events   []item
	leases   map[int64]lease
	changed  chan struct{}
}

// newStore starts a store on a free loopback port.
func newStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{
		address:  l.Addr().String(),
		revision: 100,
		items:    map[string]item{},
		leases:   map[int64]lease{},
		changed:  make(chan struct{}),
	}
	go func() { _ = http.Serve(l, http.HandlerFunc(s.serve)) }()
	go func() {
		for {
			time.Sleep(20 * time.Millisecond)
			s.mu.Lock()
			s.expire()
			s.mu.Unlock()
		}
	}()
	return s, nil
}

// put writes a key as the operator or a server does.
func (s *store) put(key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(key, text, 0)
}

// remove removes a key as the operator or a server does.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; ok {
		s.revision++
		s.drop(key)
	}
}

func (s *store) write(key string, value []byte, leaseID int64) {
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	i := item{Key: key, Value: value, Revision: s.revision, Created: created, Lease: leaseID}
	s.items[key] = i
	s.notify(i)
}

func (s *store) drop(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.notify(item{Key: key, Revision: s.revision, Removed: true})
}

func (s *store) notify(i item) {
	s.events = append(s.events, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) end(id int64) {
	delete(s.leases, id)
	s.revision++
	for key, i := range s.items {
		if i.Lease == id {
			s.drop(key)
		}
	}
}

func (s *store) expire() {
	for id, l := range s.leases {
		if !time.Now().Before(l.end) {
			s.end(id)
		}
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// serve handles a call after a few milliseconds.
func (s *store) serve(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	path := strings.TrimPrefix(r.URL.Path, "/lacewingcove/")
	if path == "kv-watch" {
		s.watch(w, r)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	id, _ := strconv.ParseInt(path[strings.LastIndexByte(path, '/')+1:], 10, 64)
	switch {
	case path == "kv-key":
		i, ok := s.items[r.URL.Query().Get("key")]
		if !ok {
			answer(w, http.StatusNotFound, map[string]any{"store_revision": s.revision})
			return
		}
		answer(w, http.StatusOK, struct {
			item
			StoreRevision int64 `json:"store_revision"`
		}{i, s.revision})
	case path == "kv-range":
		s.list(w, r)
	case path == "kv-txn":
		s.transact(w, r)
	case path == "kv-lease":
		var ask struct {
			TTL int64 `json:"ttl_ms"`
		}
		if json.NewDecoder(r.Body).Decode(&ask) != nil {
			answer(w, http.StatusBadRequest, nil)
			return
		}
		ttl := max(time.Duration(ask.TTL)*time.Millisecond, time.Second)
		s.revision++
		s.leases[s.revision] = lease{ttl: ttl, end: time.Now().Add(ttl)}
		answer(w, http.StatusOK, map[string]int64{"lease": s.revision, "ttl_ms": ttl.Milliseconds()})
	case strings.HasPrefix(path, "kv-keep/"):
		l, ok := s.leases[id]
		if !ok {
			answer(w, http.StatusNotFound, nil)
			return
		}
		l.end = time.Now().Add(l.ttl)
		s.leases[id] = l
		answer(w, http.StatusOK, map[string]int64{"lease": id, "ttl_ms": l.ttl.Milliseconds()})
	case strings.HasPrefix(path, "kv-lease-end/"):
		if _, ok := s.leases[id]; !ok {
			answer(w, http.StatusNotFound, nil)
			return
		}
		s.end(id)
		answer(w, http.StatusOK, map[string]any{})
	default:
		answer(w, http.StatusNotFound, nil)
	}
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	items := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, q.Get("path_prefix")) && key > q.Get("after") {
			items = append(items, i)
		}
	}
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	answer(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "store_revision": s.revision})
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var ask struct {
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
	if json.NewDecoder(r.Body).Decode(&ask) != nil {
		answer(w, http.StatusBadRequest, nil)
		return
	}
	conflict := false
	current := []item{}
	for _, e := range ask.Expect {
		i, ok := s.items[e.Key]
		if !ok {
			i = item{Key: e.Key}
		}
		current = append(current, i)
		conflict = conflict || i.Revision != e.Revision
	}
	if conflict {
		answer(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, p := range ask.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			answer(w, http.StatusForbidden, nil)
			return
		}
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			answer(w, http.StatusNotFound, nil)
			return
		}
	}
	s.revision++
	for _, p := range ask.Puts {
		s.write(p.Key, p.Value, p.Lease)
	}
	for _, key := range ask.Remove {
		s.drop(key)
	}
	answer(w, http.StatusOK, map[string]int64{"revision": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		events := []item{}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, q.Get("path_prefix")) {
				events = append(events, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			answer(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}
