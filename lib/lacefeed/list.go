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

// maxListBytes bounds the size of the instance list; 1,500 entries of about 120 bytes fit with ample room.
const maxListBytes = 1 << 20

// Errors of the instance list.
var (
	// ErrInstanceList means that the instance list could not be fetched or decoded.
	ErrInstanceList = errors.New("feed: instance list unusable")
	// ErrNotModified means that the list has not changed since the last fetch.
	ErrNotModified = errors.New("feed: instance list not modified")
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

// decodeList decodes a complete list. An unknown state makes the whole list invalid, because treating it as either live
// or leaving would be a guess.
func decodeList(r io.Reader) ([]Entry, error) {
	body, err := io.ReadAll(io.LimitReader(r, maxListBytes+1))
	if err != nil || len(body) > maxListBytes {
		return nil, errors.Wrap(ErrInstanceList, "body truncated or too large")
	}
	var w wireList
	if err := json.Unmarshal(body, &w); err != nil {
		return nil, errors.Wrap(ErrInstanceList, err.Error())
	}
	if w.Instances == nil {
		return nil, errors.Wrap(ErrInstanceList, "field instances is missing")
	}
	seen := map[string]bool{}
	list := make([]Entry, 0, len(*w.Instances))
	for _, e := range *w.Instances {
		if e.Name == "" || seen[e.Name] || (e.State != StateLive && e.State != StateLeaving) {
			return nil, errors.Wrapf(ErrInstanceList, "invalid entry %q in state %q", e.Name, e.State)
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

// fetchList fetches the list with a conditional request; it returns ErrNotModified if the list still has the given
// ETag.
func fetchList(
	ctx context.Context,
	client *http.Client,
	address laceunit.Address,
	etag string,
) ([]Entry, string, error) {
	baseURL := string(address)
	if !strings.Contains(baseURL, "://") {
		baseURL = "http://" + baseURL
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, baseURL+"/v1/instances", http.NoBody)
	if err != nil {
		return nil, "", errors.Wrap(ErrInstanceList, err.Error())
	}
	if etag != "" {
		req.Header.Set("If-None-Match", etag)
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, "", errors.Wrap(ErrInstanceList, err.Error())
	}
	defer func() { _ = resp.Body.Close() }()
	switch {
	case resp.StatusCode == http.StatusNotModified && etag != "":
		return nil, etag, ErrNotModified
	case resp.StatusCode != http.StatusOK:
		return nil, "", errors.Wrapf(ErrInstanceList, "status %d", resp.StatusCode)
	}
	list, err := decodeList(resp.Body)
	return list, resp.Header.Get("ETag"), err
}

// leavingServers is the set of servers that are leaving. A leaving server that disappears from the list stays in the
// set until it is listed as live again or is removed from the configuration, because the list omits servers that have
// left.
type leavingServers map[laceunit.ServerID]bool

func (l leavingServers) update(list []Entry, servers map[laceunit.ServerID]laceconfig.Server) {
	for id := range l {
		if _, ok := servers[id]; !ok {
			delete(l, id)
		}
	}
	for _, e := range list {
		if e.State == StateLeaving {
			l[e.Name] = true
			continue
		}
		delete(l, e.Name)
	}
}
