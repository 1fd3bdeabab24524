package lacequota

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"lacewingcove/lib/laceunit"
)

// GroupID identifies a group of accounts that are written together; it is the same at instances with the same accounts.
type GroupID string

// groupAccounts divides accounts into as few groups as possible with at most maxAccountsPerCall accounts each. They are
// ordered by a hash, so that the accounts of one client are spread over the groups.
func groupAccounts(accounts []laceunit.AccountID) map[laceunit.AccountID]GroupID {
	order := slices.Clone(accounts)
	slices.SortFunc(order, func(a, b laceunit.AccountID) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(string(a)), xxhash.Sum64String(string(b))), cmp.Compare(a, b))
	})
	count := (len(order) + maxAccountsPerCall - 1) / maxAccountsPerCall
	groups := make(map[laceunit.AccountID]GroupID, len(order))
	for i, a := range order {
		groups[a] = GroupID(strconv.Itoa(i*count/len(order)) + "/" + strconv.Itoa(count))
	}
	return groups
}
