package lacewire

import (
	"encoding/hex"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/laceunit"
)

// ErrMalformed means that a message can't be decoded or mapped to a domain value.
var ErrMalformed = errors.New("wire: malformed message")

// nameTable interns repeated IDs: messages refer to them by their index, counted from one. Index zero is the empty ID.
type nameTable struct {
	list  []string
	index map[string]uint32
}

func intern[T ~string](n *nameTable, id T) uint32 {
	if id == "" {
		return 0
	}
	if i, ok := n.index[string(id)]; ok {
		return i
	}
	if n.index == nil {
		n.index = map[string]uint32{}
	}
	n.list = append(n.list, string(id))
	i := uint32(len(n.list))
	n.index[string(id)] = i
	return i
}

// nameResolver resolves the indices of interned IDs. It keeps the first error.
type nameResolver struct {
	list []string
	err  error
}

func resolve[T ~string](r *nameResolver, i uint32) T {
	if i == 0 {
		return ""
	}
	if int(i) > len(r.list) {
		r.fail("name index out of range")
		return ""
	}
	return T(r.list[i-1])
}

func (r *nameResolver) fail(message string) {
	if r.err == nil {
		r.err = errors.Wrap(ErrMalformed, message)
	}
}

func encode(m proto.Message) ([]byte, error) {
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	return b, errors.Wrap(err, "wire: encode")
}

func decode(b []byte, m proto.Message) error {
	if err := proto.Unmarshal(b, m); err != nil {
		return errors.Wrap(ErrMalformed, err.Error())
	}
	return nil
}

func holderToLedger(h laceunit.Holder) *LedgerHolder {
	return &LedgerHolder{
		Instance:    string(h.Instance),
		Incarnation: uint64(h.Incarnation),
	}
}

func holderFromLedger(m *LedgerHolder) laceunit.Holder {
	return laceunit.Holder{
		Instance:    laceunit.InstanceID(m.GetInstance()),
		Incarnation: laceunit.Incarnation(m.GetIncarnation()),
	}
}

func holdersToLedger(hs []laceunit.Holder) []*LedgerHolder {
	var ms []*LedgerHolder
	for _, h := range hs {
		ms = append(ms, holderToLedger(h))
	}
	return ms
}

func holdersFromLedger(ms []*LedgerHolder) []laceunit.Holder {
	var hs []laceunit.Holder
	for _, m := range ms {
		hs = append(hs, holderFromLedger(m))
	}
	return hs
}

// fromDigest encodes a lower-case hexadecimal digest in binary, which halves its size. Any other digest is kept as
// text, so that toDigest returns it unchanged.
func fromDigest(d laceunit.Digest) *LedgerDigest {
	if d == "" {
		return nil
	}
	b, err := hex.DecodeString(string(d))
	if err != nil || hex.EncodeToString(b) != string(d) {
		return &LedgerDigest{Text: string(d)}
	}
	return &LedgerDigest{Binary: b}
}

func toDigest(m *LedgerDigest) laceunit.Digest {
	if b := m.GetBinary(); len(b) > 0 {
		return laceunit.Digest(hex.EncodeToString(b))
	}
	return laceunit.Digest(m.GetText())
}

func fromResponse(r *laceledger.Response) *LedgerAnswer {
	if r == nil {
		return nil
	}
	return &LedgerAnswer{
		Status: int32(r.Status),
		Type:   r.ContentType,
		Body:   r.Body,
	}
}

func toResponse(m *LedgerAnswer) *laceledger.Response {
	if m == nil {
		return nil
	}
	return &laceledger.Response{
		Status:      int(m.GetStatus()),
		ContentType: m.GetType(),
		Body:        m.GetBody(),
	}
}
