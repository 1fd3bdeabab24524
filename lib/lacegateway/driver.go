package lacegateway

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/lacebackend"
	"lacewingcove/lib/lacefault"
	"lacewingcove/lib/lacegrant"
	"lacewingcove/lib/lacejournal"
	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/lacerequest"
	"lacewingcove/lib/lacetrace"
	"lacewingcove/lib/laceunit"
)

// message is an input with what the driver notes when it takes it, or undoes when it came too late.
type message struct {
	input  lacerequest.Input
	accept func()
	drop   func()
}

// driver carries out the effects of one machine and feeds it the results.
type driver struct {
	gateway     *Gateway
	task        task
	machine     *lacerequest.Machine
	reservation lacegrant.Reservation
	inputs      chan message
	stop        chan struct{}
	workers     sync.WaitGroup
	started     time.Time
	recording   *lacetrace.Recording

	ticket  PickResult
	picked  bool
	attempt context.CancelFunc
	header  http.Header
	first   bool
	// output is what the caller's rate limit is charged at the end.
	output laceunit.Tokens
	// copied is true once a journal entry may exist.
	copied bool
}

func newDriver(g *Gateway, t task, r lacegrant.Reservation) *driver {
	return &driver{
		gateway:     g,
		task:        t,
		reservation: r,
		inputs:      make(chan message, inputQueue),
		stop:        make(chan struct{}),
		started:     g.now(),
		recording:   g.recorder.Begin(t.spec),
	}
}

// loop feeds the machine until the caller has the final answer, then leaves what is open to the background.
func (d *driver) loop(caller context.Context) {
	machine, effects := lacerequest.New(d.task.spec)
	d.machine = machine
	d.do(effects)
	gone := caller.Done()
	for !machine.Done() {
		select {
		case m := <-d.inputs:
			d.step(m)
		case <-gone:
			gone = nil
			d.step(message{input: lacerequest.Gone{}})
		}
	}
	if !machine.HoldsReservation() {
		d.close()
		return
	}
	d.gateway.running.Add(1)
	go func() {
		defer d.gateway.running.Done()
		for machine.HoldsReservation() {
			d.step(<-d.inputs)
		}
		d.close()
	}()
}

// close stops the workers and waits for them.
func (d *driver) close() {
	if err := d.recording.End(); err != nil {
		d.gateway.metrics.traceFailed()
	}
	close(d.stop)
	if d.attempt != nil {
		d.attempt()
	}
	d.finishTicket(ResultCanceled)
	d.gateway.running.Add(1)
	go func() {
		defer d.gateway.running.Done()
		d.workers.Wait()
		for len(d.inputs) > 0 {
			(<-d.inputs).undo()
		}
	}()
}

func (d *driver) step(m message) {
	if m.accept != nil {
		m.accept()
	}
	d.recording.Add(m.input)
	d.do(d.machine.Step(m.input))
}

func (m message) undo() {
	if m.drop != nil {
		m.drop()
	}
}

// post hands an input to the loop.
func (d *driver) post(in lacerequest.Input) {
	d.send(message{input: in})
}

// send hands a message to the loop, unless the driver has ended.
func (d *driver) send(m message) {
	select {
	case d.inputs <- m:
	case <-d.stop:
		m.undo()
	}
}

// work runs a blocking step beside the loop.
func (d *driver) work(step func()) {
	d.workers.Add(1)
	go func() {
		defer d.workers.Done()
		step()
	}()
}

func (d *driver) do(effects []lacerequest.Effect) {
	for _, e := range effects {
		d.effect(e)
	}
}

func (d *driver) effect(e lacerequest.Effect) {
	g := d.gateway
	switch e := e.(type) {
	case lacerequest.Pick:
		d.pick(e)
	case lacerequest.Dispatch:
		d.dispatch(e)
	case lacerequest.Abort:
		d.abort(e)
	case lacerequest.Append:
		d.append(e.Record)
	case lacerequest.Copy:
		d.copy(e.Entry)
	case lacerequest.Regrant:
		d.regrant(e)
	case lacerequest.Lookup:
		d.lookup()
	case lacerequest.Emit:
		d.noteFirst()
		if err := d.task.sink.chunk(e.Text); err != nil {
			d.work(func() { d.post(lacerequest.Gone{}) })
		}
	case lacerequest.Reply:
		g.metrics.done(g.now().Sub(d.started))
		d.task.sink.reply(e.Response, d.header, e.Missing)
	case lacerequest.Finish:
		d.output = e.Output
		g.metrics.done(g.now().Sub(d.started))
		d.task.sink.finish(e.Prompt, e.Output)
	case lacerequest.Refuse:
		if e.Fault.Outcome == lacefault.NotRun {
			g.abandon(d.task)
		}
		d.output = e.Output
		g.metrics.refused(e.Fault)
		d.task.sink.refuse(e.Fault)
	case lacerequest.Release:
		g.deps.Wallet.Settle(d.reservation, e.Used)
	case lacerequest.Resolve:
		if _, void := e.Record.(laceledger.Void); void && d.copied {
			g.deps.Journal.Abandon(d.task.spec.Request)
		}
		g.resolver.add(pending{
			record:      d.stamp(e.Record),
			reservation: d.reservation,
			server:      d.ticket.Address,
			ask:         e.Server != "",
			request:     d.scoped(),
		})
	}
}

func (d *driver) noteFirst() {
	if !d.first {
		d.first = true
		d.gateway.metrics.firstByte(d.gateway.now().Sub(d.started))
	}
}

func (d *driver) pick(e lacerequest.Pick) {
	d.finishTicket(ResultFailure)
	choice := d.task.choice
	choice.Exclude, choice.Prefer, choice.Retry = e.Exclude, e.Prefer, e.Retry
	d.work(func() {
		ctx, cancel := d.context(d.task.timeout)
		defer cancel()
		ticket, fault := d.gateway.deps.Picker.Pick(ctx, choice)
		if fault != nil {
			d.post(lacerequest.Unpicked{Fault: fault})
			return
		}
		d.send(message{
			input:  lacerequest.Picked{Server: ticket.Server},
			accept: func() { d.ticket, d.picked = ticket, true },
			drop:   func() { ticket.Done(ResultCanceled) },
		})
	})
}

// context returns a context that ends with the driver or after a time; the caller's own context must not end records.
func (d *driver) context(timeout time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), timeout)
}

// finishTicket tells the picker how the attempt at the picked server ended.
func (d *driver) finishTicket(result AttemptResult) {
	if !d.picked {
		return
	}
	d.picked = false
	d.ticket.Done(result)
}

func (d *driver) scoped() lacebackend.ScopedRequestID {
	return lacebackend.Scope(d.task.caller.id, d.task.id)
}

func (d *driver) abort(e lacerequest.Abort) {
	if d.attempt != nil {
		d.attempt()
		d.attempt = nil
	}
	d.finishTicket(ResultCanceled)
	if e.KeepRunning || d.task.invocation != nil {
		return
	}
	address := d.ticket.Address
	d.work(func() {
		ctx, cancel := d.context(recordTimeout)
		defer cancel()
		// A run that can't be canceled ends by itself at its token limit.
		_ = d.gateway.deps.Backend.Cancel(ctx, address, d.scoped(), e.Attempt)
	})
}

// stamp sets the time of records that the ledger keeps for its retention window.
func (d *driver) stamp(record laceledger.Record) laceledger.Record {
	return stamp(record, d.gateway.now())
}

func (d *driver) append(record laceledger.Record) {
	record = d.stamp(record)
	d.work(func() {
		ctx, cancel := d.context(recordTimeout)
		defer cancel()
		verdict, err := d.gateway.deps.Ledger.Append(ctx, record, d.urgency(record))
		lost := err != nil
		switch record.(type) {
		case laceledger.Settle:
			d.post(lacerequest.Billed{
				Verdict:        verdict,
				Unacknowledged: lost,
			})
		case laceledger.Void:
			d.post(lacerequest.Voided{Unacknowledged: lost})
		default:
			d.post(lacerequest.Durable{
				Verdict:        verdict,
				Unacknowledged: lost,
				NotAppended:    errors.Is(err, laceplatform.ErrUnavailable),
			})
		}
	})
}

func (d *driver) urgency(record laceledger.Record) laceledger.Urgency {
	if _, intent := record.(laceledger.Intent); intent && !d.task.spec.Idempotent {
		return laceledger.UrgencyImmediate
	}
	return laceledger.UrgencyNormal
}

func (d *driver) copy(entry laceledger.Offline) {
	if !entry.Finished {
		r, ok := d.gateway.deps.Wallet.Convert(d.reservation)
		if !ok {
			d.work(func() { d.post(lacerequest.Copied{}) })
			return
		}
		d.reservation = r
	}
	entry.At = d.gateway.now().Unix()
	d.work(func() {
		ctx, cancel := d.context(recordTimeout)
		defer cancel()
		err := d.gateway.deps.Journal.Copy(ctx, entry, d.task.decision)
		d.send(message{
			input: lacerequest.Copied{OK: err == nil},
			accept: func() {
				// An entry that was there before belongs to an earlier run and must stay.
				d.copied = d.copied || !errors.Is(err, lacejournal.ErrAlreadyStarted)
			},
		})
	})
}

func (d *driver) regrant(e lacerequest.Regrant) {
	if e.Closed {
		d.gateway.deps.Wallet.Drop(d.task.spec.Budget, e.Grant)
	} else {
		// The reservation ends here; a new one is made under another grant.
		d.gateway.deps.Wallet.Settle(d.reservation, 0)
		d.gateway.deps.Wallet.Retire(d.task.spec.Budget, e.Grant)
	}
	d.work(func() {
		ctx, cancel := d.context(reserveTimeout)
		defer cancel()
		r, err := d.gateway.deps.Wallet.Reserve(ctx, d.task.spec.Budget, d.task.spec.Ceiling)
		if err != nil {
			d.post(lacerequest.Regranted{Fault: walletFault(err)})
			return
		}
		d.send(message{
			input:  lacerequest.Regranted{Grant: r.Grant},
			accept: func() { d.reservation = r },
			drop:   func() { d.gateway.deps.Wallet.Settle(r, 0) },
		})
	})
}

func (d *driver) lookup() {
	address := d.ticket.Address
	d.work(func() {
		ctx, cancel := d.context(recordTimeout)
		defer cancel()
		status, err := d.gateway.deps.Backend.Lookup(ctx, address, d.scoped())
		d.post(lacerequest.Found{Ran: err == nil && status.State == lacebackend.StateDone})
	})
}
