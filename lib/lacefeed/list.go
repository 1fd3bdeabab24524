package lacefeed

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceconfig"
	"lacewingcove/lib/laceunit"
)

// maxList bounds the instance list in bytes: 1,500 entries of about 120 bytes leave ample room.
const maxList = 1 << 20

// Errors of the instance list.
var (
	// ErrList means that the instance list can't be had or read.
	ErrInstanceList = errors.New("feed: instance list unusable")
	// ErrSame means that the list has not changed.
	ErrNotModified = errors.New("feed: instance list unchanged")
)

// The states of an entry.
const (
	StateLive    = "live"
	StateLeaving = "leaving"
)

// Entry is one server on the instance list.
type Entry struct {
	Name    laceunit.ServerID
	Kind    string
	State   string
	Address laceunit.Address
}

type wireList struct {
	Instances *[]wireEntry `json:"instances"`
}

type wireEntry struct {
	Name    string `json:"name"`
	Kind    string `json:"kind"`
	State   string `json:"state"`
	Address string `json:"address"`
}

// decodeList reads a whole list. An unknown state makes the list unusable: taking it for live or for leaving would be
// a guess in either direction.
func decodeList(r io.Reader) ([]Entry, error) {
	b, err := io.ReadAll(io.LimitReader(r, maxList+1))
	if err != nil || len(b) > maxList {
		return nil, errors.Wrap(ErrInstanceList, "cut or too long")
	}
	var w wireList
	if err := json.Unmarshal(b, &w); err != nil {
		return nil, errors.Wrap(ErrInstanceList, err.Error())
	}
	if w.Instances == nil {
		return nil, errors.Wrap(ErrInstanceList, "no instances")
	}
	seen := map[string]bool{}
	list := make([]Entry, 0, len(*w.Instances))
	for _, e := range *w.Instances {
		if e.Name == "" || seen[e.Name] || (e.State != StateLive && e.State != StateLeaving) {
			return nil, errors.Wrapf(ErrInstanceList, "entry %q in state %q", e.Name, e.State)
		}
		seen[e.Name] = true
		list = append(list, Entry{
			Name:    laceunit.ServerID(e.Name),
			Kind:    e.Kind,
			State:   e.State,
			Address: laceunit.Address(e.Address),
		})
	}
	return list, nil
}

// fetch gets the list, or ErrSame when it still has the tag.
func fetch(ctx context.Context, client *http.Client, address laceunit.Address, tag string) ([]Entry, string, error) {
	base := string(address)
	if !strings.Contains(base, "://") {
		base = "http://" + base
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/v1/instances", http.NoBody)
	if err != nil {
		return nil, "", errors.Wrap(ErrInstanceList, err.Error())
	}
	if tag != "" {
		req.Header.Set("If-None-Match", tag)
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, "", errors.Wrap(ErrInstanceList, err.Error())
	}
	defer func() { _ = resp.Body.Close() }()
	switch {
	case resp.StatusCode == http.StatusNotModified && tag != "":
		return nil, tag, ErrNotModified
	case resp.StatusCode != http.StatusOK:
		return nil, "", errors.Wrapf(ErrInstanceList, "status %d", resp.StatusCode)
	}
	list, err := decodeList(resp.Body)
	return list, resp.Header.Get("ETag"), err
}

// marks remembers which servers are leaving. A server that vanishes from the list after its mark stays marked until it
// is listed as live again or leaves the configuration, because the list drops servers that have left.
type marks map[laceunit.ServerID]bool

func (m marks) apply(list []Entry, servers map[laceunit.ServerID]laceconfig.Server) {
	for id := range m {
		if _, ok := servers[id]; !ok {
			delete(m, id)
		}
	}
	for _, e := range list {
		if e.State == StateLeaving {
			m[e.Name] = true
			continue
		}
		delete(m, e.Name)
	}
}
