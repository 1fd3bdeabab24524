package lacemirror

import (
	"strconv"
	"testing"

	"lacewingcove/lib/laceplatform"
)

// Guards against an entry that is left out of all lists because its writer has written the same content again that the
// restored store lacked: a configuration or a server's report of before the restore.
func TestContentWrittenAgainIsListed(t *testing.T) {
	m := NewMirror("servers/")
	m.sequence = func(e laceplatform.Entry) (Sequence, bool) {
		n, err := strconv.ParseInt(string(e.Value), 10, 64)
		return Sequence{Number: n}, err == nil
	}
	entry := func(era laceplatform.Era, number int64) laceplatform.Entry {
		return laceplatform.Entry{
			Key:      "servers/a",
			Value:    []byte("3"),
			Revision: revisionOf(t, era, number),
		}
	}
	m.Replace([]laceplatform.Entry{entry(1, 9)}, revisionOf(t, 1, 9))
	// The backup is older than the entry.
	m.Replace(nil, revisionOf(t, 2, 5))
	for number := int64(7); number < 10; number++ {
		m.Replace([]laceplatform.Entry{entry(2, 6)}, revisionOf(t, 2, number))
		if _, ok := m.Get("servers/a"); !ok {
			t.Errorf("the entry that was written at 6 is missing in the list at %d", number)
		}
	}
}
