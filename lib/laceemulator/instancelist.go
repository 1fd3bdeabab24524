package laceemulator

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"lacewingcove/lib/laceunit"
)

// The states of listed servers.
const (
	StateLive    = "live"
	StateLeaving = "leaving"
)

// Listed is one entry of the instance list.
type ListEntry struct {
	Name    string
	Kind    string
	State   string
	Address laceunit.Address
}

// InstanceList is the platform's list of live and leaving servers; what it shows lags behind what is set.
type InstanceList struct {
	*mishaps
	mu     sync.Mutex
	now    func() time.Time
	lag    time.Duration
	latest []ListEntry
	// pending are the lists that are not shown yet, the oldest first.
	pending []listVersion
	shown   []ListEntry
}

// listVersion is a list from the time on at which it is shown.
type listVersion struct {
	from time.Time
	list []ListEntry
}

// NewInstanceList returns a list that shows its first entries at once and later changes after the lag.
func NewInstanceList(now func() time.Time, lag time.Duration, seed uint64, list []ListEntry) *InstanceList {
	list = slices.Clone(list)
	slices.SortFunc(list, func(a, b ListEntry) int { return cmp.Compare(a.Name, b.Name) })
	return &InstanceList{
		mishaps: newMishaps(seed, ServerFaults{}),
		now:     now,
		lag:     lag,
		latest:  list,
		shown:   list,
	}
}

// Set adds or replaces an entry; the state "gone" removes it.
func (l *InstanceList) Set(entry ListEntry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := slices.Clone(l.latest)
	at, found := slices.BinarySearchFunc(list, entry.Name, func(e ListEntry, name string) int { return cmp.Compare(e.Name, name) })
	switch {
	case found && entry.State == "gone":
		list = slices.Delete(list, at, at+1)
	case found:
		list[at] = entry
	case entry.State != "gone":
		list = slices.Insert(list, at, entry)
	}
	l.latest = list
	l.pending = append(l.pending, listVersion{
		from: l.now().Add(l.lag),
		list: list,
	})
}

// Shown returns the list as it is shown now.
func (l *InstanceList) Visible() []ListEntry {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	for len(l.pending) > 0 && !now.Before(l.pending[0].from) {
		l.shown = l.pending[0].list
		l.pending = l.pending[1:]
	}
	return l.shown
}

// find returns the latest entry under a name.
func (l *InstanceList) find(name string) (ListEntry, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.latest {
		if e.Name == name {
			return e, true
		}
	}
	return ListEntry{}, false
}

// Handler serves the list at GET /v1/instances with an ETag, and sets one entry at POST /v1/instances/{name}, where
// what the body leaves out stays as it is.
func (l *InstanceList) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /v1/instances", l.get)
	m.HandleFunc("POST /v1/instances/{name}", l.post)
	return withFaults(l.mishaps, m)
}

// listEntry is the JSON form of Listed.
type listEntry struct {
	Name    string           `json:"name"`
	Kind    string           `json:"kind"`
	State   string           `json:"state"`
	Address laceunit.Address `json:"address"`
}

type listAnswer struct {
	Instances []listEntry `json:"instances"`
}

func (l *InstanceList) get(w http.ResponseWriter, r *http.Request) {
	m := l.draw()
	if m.refused {
		refuse(w, http.StatusServiceUnavailable, "refused")
		return
	}
	if sleep(r.Context(), m.slow+m.late) != nil {
		return
	}
	list := l.Visible()
	tag := fmt.Sprintf(`"%016x"`, xxhash.Sum64String(fmt.Sprint(list)))
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	a := listAnswer{
		Instances: []listEntry{},
	}
	for _, e := range list {
		a.Instances = append(a.Instances, listEntry(e))
	}
	writeJSON(w, http.StatusOK, a)
}

func (l *InstanceList) post(w http.ResponseWriter, r *http.Request) {
	old, _ := l.find(r.PathValue("name"))
	e := listEntry(old)
	if !readJSON(w, r, &e) {
		return
	}
	e.Name = r.PathValue("name")
	l.Set(ListEntry(e))
	w.WriteHeader(http.StatusNoContent)
}
