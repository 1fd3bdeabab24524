package laceresource

import (
	"slices"
	"time"
)

// Owner is whom a holder belongs to: an account, or the address of a client without one.
type Owner string

// Verdict is the outcome of a decision.
type Verdict int

const (
	// Granted means that the holder may hold what it asked for.
	Granted Verdict = iota + 1
	// Wait means that memory becomes free shortly, because holders are being closed; the holder may ask again.
	Wait
	// Refused means that there is none.
	Refused
)

// minIdle is added to the idle time of holders when they are compared, so that size counts between active ones.
const minIdle = 100 * time.Millisecond

// Holder is a connection of a client with the requests on it.
type Holder struct {
	owner Owner
	bytes int64
	// progressAt is when its client last sent or read data.
	progressAt time.Time
	// running counts its requests that a server may be running; such a holder is not closed.
	running int
	// open is true until its connection is closed, closing once it was chosen to be closed.
	open    bool
	closing bool
	index   int
}

// Owner returns whom the holder belongs to.
func (h *Holder) Owner() Owner { return h.owner }

// usage is what the holders of an owner hold.
type usage struct {
	connections int
	bytes       int64
}

// Budget divides memory and connections between holders.
type Budget struct {
	limits Limits
	open   []*Holder
	owners map[Owner]*usage
	bytes  int64
	// closingBytes and closing are what holders that are being closed still hold.
	closingBytes int64
	closing      int
}

// NewBudget returns a budget that nobody holds anything of.
func NewBudget(limits Limits) *Budget {
	return &Budget{
		limits: limits,
		owners: map[Owner]*usage{},
	}
}

// Bytes returns how much memory is held.
func (b *Budget) Bytes() int64 { return b.bytes }

// Connections returns how many connections are open.
func (b *Budget) Connections() int { return len(b.open) }

// Open adds a connection. It returns holders that have to be closed for it, and reports false if there is no room and
// none can be made.
func (b *Budget) Open(now time.Time, owner Owner) (*Holder, []*Holder, bool) {
	var victims []*Holder
	if b.limits.Connections > 0 && len(b.open)-b.closing >= b.limits.Connections {
		victim := b.idlest(now, owner)
		if victim == nil {
			return nil, nil, false
		}
		b.markClosing(victim)
		victims = append(victims, victim)
	}
	if b.limits.Bytes > 0 {
		more, ok := b.victims(now, nil, 0, b.bytes-b.closingBytes+ConnectionBytes-b.limits.Bytes)
		if !ok {
			return nil, victims, false
		}
		for _, v := range more {
			b.markClosing(v)
		}
		victims = append(victims, more...)
	}
	h := &Holder{
		owner:      owner,
		progressAt: now,
		open:       true,
		index:      len(b.open),
	}
	b.open = append(b.open, h)
	b.usageOf(owner).connections++
	b.add(h, ConnectionBytes)
	return h, victims, true
}

// Detach returns a holder for an owner without a connection. It is never closed for the sake of others.
func (b *Budget) Detach(now time.Time, owner Owner) *Holder {
	return &Holder{
		owner:      owner,
		progressAt: now,
		running:    1,
		open:       true,
	}
}

// Close ends the connection of a holder. Memory that its requests still hold counts until it is released.
func (b *Budget) Close(h *Holder) {
	if !h.open {
		return
	}
	if h.closing {
		b.closing--
		b.closingBytes -= h.bytes
	}
	h.open = false
	last := b.open[len(b.open)-1]
	b.open[h.index], last.index = last, h.index
	b.open[len(b.open)-1] = nil
	b.open = b.open[:len(b.open)-1]
	b.owners[h.owner].connections--
	b.add(h, -ConnectionBytes)
}

// Charge asks for memory for a holder. With Wait it returns holders that have to be closed for it, unless enough are
// being closed already.
func (b *Budget) Charge(now time.Time, h *Holder, bytes int64) (Verdict, []*Holder) {
	if h.closing || !h.open {
		return Refused, nil
	}
	limit := b.limits.Bytes
	if limit <= 0 {
		b.add(h, bytes)
		return Granted, nil
	}
	// A request that runs may use all memory: it ends soon, and refusing it would waste what its server does.
	if h.running == 0 && h.bytes+bytes > ConnectionBytes+b.limits.OrdinaryBytes {
		limit = b.limits.LargeBytes
	}
	if b.bytes+bytes <= limit {
		b.add(h, bytes)
		return Granted, nil
	}
	victims, ok := b.victims(now, h, bytes, b.bytes-b.closingBytes+bytes-limit)
	if !ok {
		return Refused, nil
	}
	for _, v := range victims {
		b.markClosing(v)
	}
	return Wait, victims
}

// Release returns memory of a holder.
func (b *Budget) Release(h *Holder, bytes int64) { b.add(h, -bytes) }

// Progress records that the client of a holder has sent or read data.
func (b *Budget) Progress(now time.Time, h *Holder) { h.progressAt = now }

// Assign changes the owner of a holder, once the account of its client is known.
func (b *Budget) Assign(h *Holder, owner Owner) {
	if h.owner == owner || !h.open {
		return
	}
	old := b.owners[h.owner]
	old.connections--
	old.bytes -= h.bytes
	b.forget(h.owner)
	h.owner = owner
	u := b.usageOf(owner)
	u.connections++
	u.bytes += h.bytes
}

// Run records that a server may be running a request of the holder from now on, Settle that its response is there.
func (b *Budget) Run(h *Holder) { h.running++ }

// Settle ends what Run began.
func (b *Budget) Settle(now time.Time, h *Holder) {
	h.running--
	h.progressAt = now
}

// victims returns the holders to close so that an amount of memory becomes free for a holder: those with the most
// memory that have been idle for longest, first those of owners that hold the most. Each of them holds more or has been
// idle for longer than the holder, which is nil for a new connection; it reports false if these are not enough.
func (b *Budget) victims(now time.Time, h *Holder, bytes, missing int64) ([]*Holder, bool) {
	if missing <= 0 {
		return nil, true
	}
	weight := func(x *Holder, bytes int64) float64 {
		return float64(bytes) * (now.Sub(x.progressAt) + minIdle).Seconds() * float64(b.heldBy(x.owner))
	}
	var victims []*Holder
	var own float64
	if h != nil {
		own = weight(h, h.bytes+bytes)
	}
	for missing > 0 {
		var next *Holder
		most := own
		for _, x := range b.open {
			if x == h || x.closing || x.running > 0 || slices.Contains(victims, x) {
				continue
			}
			if w := weight(x, x.bytes); w > most {
				next, most = x, w
			}
		}
		if next == nil {
			return nil, false
		}
		victims = append(victims, next)
		missing -= next.bytes
	}
	return victims, true
}

// idlest returns the holder to close for a new connection of an owner, or nil: the one that has been idle for longest,
// first those of owners with the most connections. An owner with more connections than all others together closes
// only its own.
func (b *Budget) idlest(now time.Time, owner Owner) *Holder {
	var victim *Holder
	var most float64
	u := b.owners[owner]
	onlyOwn := u != nil && u.connections > b.limits.Connections/2
	for _, x := range b.open {
		if x.closing || x.running > 0 || onlyOwn && x.owner != owner {
			continue
		}
		weight := (now.Sub(x.progressAt) + minIdle).Seconds() * float64(b.owners[x.owner].connections)
		if weight > most {
			victim, most = x, weight
		}
	}
	return victim
}

func (b *Budget) markClosing(h *Holder) {
	h.closing = true
	b.closing++
	b.closingBytes += h.bytes
}

func (b *Budget) add(h *Holder, bytes int64) {
	h.bytes += bytes
	b.bytes += bytes
	b.usageOf(h.owner).bytes += bytes
	if h.closing && h.open {
		b.closingBytes += bytes
	}
	b.forget(h.owner)
}

// heldBy returns how much memory an owner holds.
func (b *Budget) heldBy(o Owner) int64 {
	if u := b.owners[o]; u != nil {
		return u.bytes
	}
	return 0
}

func (b *Budget) usageOf(o Owner) *usage {
	u := b.owners[o]
	if u == nil {
		u = &usage{}
		b.owners[o] = u
	}
	return u
}

// forget removes the usage of an owner that holds nothing.
func (b *Budget) forget(o Owner) {
	if u := b.owners[o]; u.connections == 0 && u.bytes == 0 {
		delete(b.owners, o)
	}
}
