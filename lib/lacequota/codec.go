package lacequota

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/laceunit"
)

// ErrInvalidBudget means that a stored budget is malformed.
var ErrInvalidBudget = errors.New("quota: malformed budget")

type budgetJSON struct {
	Closed  int64                     `json:"closed"`
	Burnt   int64                     `json:"burnt"`
	Paid    int64                     `json:"paid"`
	Version uint64                    `json:"version"`
	Holders map[string]allocationJSON `json:"holders"`

	Era      int64         `json:"era,omitempty"`
	After    int64         `json:"after,omitempty"`
	Restored *restoredJSON `json:"restored,omitempty"`
}

type restoredJSON struct {
	Era    int64 `json:"era"`
	From   int64 `json:"from"`
	After  int64 `json:"after"`
	Closed int64 `json:"closed"`
	Burnt  int64 `json:"burnt"`
}

type allocationJSON struct {
	Cap  int64 `json:"cap"`
	Used int64 `json:"used"`
	Rate int64 `json:"rate"`

	Ceiling int64 `json:"ceiling"`
	// Since is in milliseconds, rounded down.
	Since int64  `json:"since"`
	Boot  string `json:"boot"`
	Era   int64  `json:"era,omitempty"`
}

// Encode returns the stored form of a budget.
func Encode(b Budget) ([]byte, error) {
	f := budgetJSON{
		Closed:  int64(b.ClosedCap),
		Burnt:   int64(b.ClosedUsed),
		Paid:    int64(b.Paid),
		Version: uint64(b.Version),
		Holders: make(map[string]allocationJSON, len(b.Allocations)),
		Era:     int64(b.Era),
		After:   int64(b.After),
	}
	if b.Restored.Era > 0 {
		f.Restored = &restoredJSON{
			Era:    int64(b.Restored.Era),
			From:   int64(b.Restored.From),
			After:  int64(b.Restored.After),
			Closed: int64(b.Restored.ClosedCap),
			Burnt:  int64(b.Restored.ClosedUsed),
		}
	}
	for h, a := range b.Allocations {
		f.Holders[h.String()] = allocationJSON{
			Cap:  int64(a.Cap),
			Used: int64(a.Used),
			Rate: int64(a.Rate),

			Ceiling: int64(a.Ceiling),
			Since:   a.SentAt.SinceBoot.Milliseconds(),
			Boot:    a.SentAt.BootID,
			Era:     int64(a.Era),
		}
	}
	data, err := json.Marshal(f)
	return data, errors.Wrap(err, "quota: encode budget")
}

// Decode parses the stored form of a budget; empty data is a budget without allocations.
func Decode(data []byte) (Budget, error) {
	var f budgetJSON
	if len(data) > 0 {
		if err := json.Unmarshal(data, &f); err != nil {
			return Budget{}, errors.Wrap(ErrInvalidBudget, err.Error())
		}
		if f.Holders == nil {
			return Budget{}, errors.Wrap(ErrInvalidBudget, "holders are missing")
		}
	}
	b := Budget{
		ClosedCap:   laceunit.Tokens(f.Closed),
		ClosedUsed:  laceunit.Tokens(f.Burnt),
		Paid:        laceunit.Tokens(f.Paid),
		Version:     laceunit.Version(f.Version),
		Allocations: make(map[laceunit.Holder]Allocation, len(f.Holders)),
		Era:         laceplatform.Era(f.Era),
		After:       laceplatform.Revision(f.After),
	}
	if r := f.Restored; r != nil {
		b.Restored = Restored{
			Era:        laceplatform.Era(r.Era),
			From:       laceplatform.Revision(r.From),
			After:      laceplatform.Revision(r.After),
			ClosedCap:  laceunit.Tokens(r.Closed),
			ClosedUsed: laceunit.Tokens(r.Burnt),
		}
	}
	for k, a := range f.Holders {
		holder, err := parseHolder(k)
		if err != nil {
			return Budget{}, err
		}
		b.Allocations[holder] = Allocation{
			Cap:  laceunit.Tokens(a.Cap),
			Used: laceunit.Tokens(a.Used),
			Rate: laceunit.Tokens(a.Rate),

			Ceiling: laceunit.Tokens(a.Ceiling),
			SentAt: Instant{
				BootID:    a.Boot,
				SinceBoot: time.Duration(a.Since) * time.Millisecond,
			},
			Era: laceplatform.Era(a.Era),
		}
	}
	return b, nil
}

func parseHolder(text string) (laceunit.Holder, error) {
	i := strings.LastIndexByte(text, '/')
	if i < 0 {
		return laceunit.Holder{}, errors.Wrap(ErrInvalidBudget, "malformed holder "+text)
	}
	n, err := strconv.ParseUint(text[i+1:], 10, 64)
	if err != nil {
		return laceunit.Holder{}, errors.Wrap(ErrInvalidBudget, "malformed holder "+text)
	}
	return laceunit.Holder{
		Instance:    laceunit.InstanceID(text[:i]),
		Incarnation: laceunit.Incarnation(n),
	}, nil
}
