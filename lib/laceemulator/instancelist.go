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

// States of servers in the instance list.
const (
	StateLive    = "live"
	StateLeaving = "leaving"
)

// ListEntry is a server in the instance list.
type ListEntry struct {
	Name    string
	Kind    string
	State   string
	Address laceunit.Address
}

// InstanceList is the platform's list of live and leaving servers. Changes become visible after a lag.
type InstanceList struct {
	*faultInjector
	mu     sync.Mutex
	now    func() time.Time
	lag    time.Duration
	latest []ListEntry
	// pending are the versions of the list that are not visible yet, the oldest first.
	pending []listVersion
	visible []ListEntry
}

// listVersion is a version of the list and the time at which it becomes visible.
type listVersion struct {
	visibleFrom time.Time
	entries     []ListEntry
}

// NewInstanceList returns a list whose initial entries are visible immediately, and later changes after the lag.
func NewInstanceList(now func() time.Time, lag time.Duration, seed uint64, entries []ListEntry) *InstanceList {
	entries = slices.Clone(entries)
	slices.SortFunc(entries, func(a, b ListEntry) int { return cmp.Compare(a.Name, b.Name) })
	return &InstanceList{
		faultInjector: newFaultInjector(seed, ServerFaults{}),
		now:           now,
		lag:           lag,
		latest:        entries,
		visible:       entries,
	}
}

// Set adds or replaces an entry. The state "gone" removes it.
func (l *InstanceList) Set(entry ListEntry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	entries := slices.Clone(l.latest)
	index, found := slices.BinarySearchFunc(entries, entry.Name, func(e ListEntry, name string) int {
		return cmp.Compare(e.Name, name)
	})
	switch {
	case found && entry.State == "gone":
		entries = slices.Delete(entries, index, index+1)
	case found:
		entries[index] = entry
	case entry.State != "gone":
		entries = slices.Insert(entries, index, entry)
	}
	l.latest = entries
	l.pending = append(l.pending, listVersion{
		visibleFrom: l.now().Add(l.lag),
		entries:     entries,
	})
}

// Visible returns the currently visible entries.
func (l *InstanceList) Visible() []ListEntry {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	for len(l.pending) > 0 && !now.Before(l.pending[0].visibleFrom) {
		l.visible = l.pending[0].entries
		l.pending = l.pending[1:]
	}
	return l.visible
}

// find returns the latest entry of a name, visible or not.
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

// Handler serves the list at GET /v1/instances with an ETag, and updates an entry at POST /v1/instances/{name}. Fields
// that are missing in the body stay unchanged.
func (l *InstanceList) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /v1/instances", l.getList)
	m.HandleFunc("POST /v1/instances/{name}", l.postEntry)
	return withFaults(l.faultInjector, m)
}

// listEntry is the JSON form of ListEntry.
type listEntry struct {
	Name    string           `json:"name"`
	Kind    string           `json:"kind"`
	State   string           `json:"state"`
	Address laceunit.Address `json:"address"`
}

type listResponse struct {
	Instances []listEntry `json:"instances"`
}

func (l *InstanceList) getList(w http.ResponseWriter, r *http.Request) {
	faults := l.drawFaults()
	if faults.rejected {
		reject(w, http.StatusServiceUnavailable, "refused")
		return
	}
	if sleep(r.Context(), faults.latency+faults.delay) != nil {
		return
	}
	entries := l.Visible()
	tag := fmt.Sprintf(`"%016x"`, xxhash.Sum64String(fmt.Sprint(entries)))
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	resp := listResponse{
		Instances: []listEntry{},
	}
	for _, e := range entries {
		resp.Instances = append(resp.Instances, listEntry(e))
	}
	writeJSON(w, http.StatusOK, resp)
}

func (l *InstanceList) postEntry(w http.ResponseWriter, r *http.Request) {
	current, _ := l.find(r.PathValue("name"))
	e := listEntry(current)
	if !readJSON(w, r, &e) {
		return
	}
	e.Name = r.PathValue("name")
	l.Set(ListEntry(e))
	w.WriteHeader(http.StatusNoContent)
}
