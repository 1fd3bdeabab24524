package lacequota

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceunit"
)

// ErrPage means that a stored page can't be read.
var ErrInvalidBudget = errors.New("quota: page can't be read")

type budgetForm struct {
	Closed  int64                  `json:"closed"`
	Burnt   int64                  `json:"burnt"`
	Paid    int64                  `json:"paid"`
	Version uint64                 `json:"version"`
	Holders map[string]holdingForm `json:"holders"`
}

type holdingForm struct {
	Cap  int64 `json:"cap"`
	Used int64 `json:"used"`
	Rate int64 `json:"rate"`

	Ceiling int64 `json:"ceiling"`
	// Since is in milliseconds, rounded down.
	Since int64  `json:"since"`
	Boot  string `json:"boot"`
}

// Encode writes the page of a budget.
func Encode(b Budget) ([]byte, error) {
	f := budgetForm{
		Closed:  int64(b.ClosedCap),
		Burnt:   int64(b.ClosedUsed),
		Paid:    int64(b.Paid),
		Version: uint64(b.Version),
		Holders: make(map[string]holdingForm, len(b.Allocations)),
	}
	for k, h := range b.Allocations {
		f.Holders[k.String()] = holdingForm{
			Cap:  int64(h.Cap),
			Used: int64(h.Used),
			Rate: int64(h.Rate),

			Ceiling: int64(h.Ceiling),
			Since:   h.SentAt.SinceBoot.Milliseconds(),
			Boot:    h.SentAt.BootID,
		}
	}
	text, err := json.Marshal(f)
	return text, errors.Wrap(err, "quota: encode page")
}

// Decode reads the page of a budget; an empty text is that of a budget that nobody has drawn on.
func Decode(text []byte) (Budget, error) {
	var f budgetForm
	if len(text) > 0 {
		if err := json.Unmarshal(text, &f); err != nil {
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
	}
	for k, h := range f.Holders {
		holder, err := parseHolder(k)
		if err != nil {
			return Budget{}, err
		}
		b.Allocations[holder] = Allocation{
			Cap:  laceunit.Tokens(h.Cap),
			Used: laceunit.Tokens(h.Used),
			Rate: laceunit.Tokens(h.Rate),

			Ceiling: laceunit.Tokens(h.Ceiling),
			SentAt: Instant{
				BootID:    h.Boot,
				SinceBoot: time.Duration(h.Since) * time.Millisecond,
			},
		}
	}
	return b, nil
}

func parseHolder(text string) (laceunit.Holder, error) {
	i := strings.LastIndexByte(text, '/')
	if i < 0 {
		return laceunit.Holder{}, errors.Wrap(ErrInvalidBudget, "holder "+text)
	}
	n, err := strconv.ParseUint(text[i+1:], 10, 64)
	if err != nil {
		return laceunit.Holder{}, errors.Wrap(ErrInvalidBudget, "holder "+text)
	}
	return laceunit.Holder{
		Instance:    laceunit.InstanceID(text[:i]),
		Incarnation: laceunit.Incarnation(n),
	}, nil
}
