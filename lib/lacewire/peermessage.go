package lacewire

import (
	"lacewingcove/lib/lacemember"
	"lacewingcove/lib/laceunit"
)

// FromPromiseAsk maps a request for a promise to the process that it is meant for.
func FromPromiseAsk(ask lacemember.PromiseAsk, to laceunit.Holder) *PromiseRequest {
	return &PromiseRequest{
		From:   FromHolder(ask.Home),
		To:     FromHolder(to),
		Record: FromMembershipRecord(ask.Record),
		Round:  ask.Round,
		Epoch:  uint64(ask.Epoch),
	}
}

// ToPromiseAsk maps a message to a request for a promise.
func ToPromiseAsk(ask *PromiseRequest) lacemember.PromiseAsk {
	return lacemember.PromiseAsk{
		Home:   ToHolder(ask.GetFrom()),
		Record: ToMembershipRecord(ask.GetRecord()),
		Round:  ask.GetRound(),
		Epoch:  laceunit.Epoch(ask.GetEpoch()),
	}
}

// FromPromiseReply maps the answer to a request for a promise.
func FromPromiseReply(reply lacemember.PromiseReply) *PromiseReply {
	return &PromiseReply{
		From:     FromHolder(reply.From),
		Given:    reply.Granted,
		Platform: reply.PlatformReachable,
		Behind:   reply.NeedsRecord,
		Epoch:    uint64(reply.Epoch),
		Round:    reply.Round,
		Seen:     mapped(reply.Started, func(k lacemember.Key) uint64 { return uint64(k) }),
		Record:   FromMembershipRecord(reply.Record),
	}
}

// ToPromiseReply maps a message to the answer to a request for a promise.
func ToPromiseReply(reply *PromiseReply) lacemember.PromiseReply {
	return lacemember.PromiseReply{
		From:              ToHolder(reply.GetFrom()),
		Granted:           reply.GetGiven(),
		PlatformReachable: reply.GetPlatform(),
		NeedsRecord:       reply.GetBehind(),
		Epoch:             laceunit.Epoch(reply.GetEpoch()),
		Round:             reply.GetRound(),
		Started:           mapped(reply.GetSeen(), func(k uint64) lacemember.Key { return lacemember.Key(k) }),
		Record:            ToMembershipRecord(reply.GetRecord()),
	}
}

// FromProbeAsk maps a probe to the process that it is meant for.
func FromProbeAsk(ask lacemember.ProbeAsk, to laceunit.Holder) *ProbeRequest {
	return &ProbeRequest{
		From:  FromHolder(ask.From),
		To:    FromHolder(to),
		Epoch: uint64(ask.Epoch),
	}
}

// ToProbeAsk maps a message to a probe.
func ToProbeAsk(ask *ProbeRequest) lacemember.ProbeAsk {
	return lacemember.ProbeAsk{
		From:  ToHolder(ask.GetFrom()),
		Epoch: laceunit.Epoch(ask.GetEpoch()),
	}
}

// FromProbeReply maps the answer to a probe.
func FromProbeReply(reply lacemember.ProbeReply) *ProbeReply {
	return &ProbeReply{
		From:     FromHolder(reply.From),
		Epoch:    uint64(reply.Epoch),
		Platform: reply.PlatformReachable,
		Released: reply.ReleasedRound,
		Record:   FromMembershipRecord(reply.Record),
	}
}

// ToProbeReply maps a message to the answer to a probe.
func ToProbeReply(reply *ProbeReply) lacemember.ProbeReply {
	return lacemember.ProbeReply{
		From:              ToHolder(reply.GetFrom()),
		Epoch:             laceunit.Epoch(reply.GetEpoch()),
		PlatformReachable: reply.GetPlatform(),
		ReleasedRound:     reply.GetReleased(),
		Record:            ToMembershipRecord(reply.GetRecord()),
	}
}

// FromAckAsk maps a joiner's request to the process that it is meant for.
func FromAckAsk(ask lacemember.AckAsk, to laceunit.Holder) *AcknowledgeRequest {
	return &AcknowledgeRequest{
		From:   FromHolder(ask.From),
		To:     FromHolder(to),
		Record: FromMembershipRecord(ask.Record),
	}
}

// ToAckAsk maps a message to a joiner's request.
func ToAckAsk(ask *AcknowledgeRequest) lacemember.AckAsk {
	return lacemember.AckAsk{
		From:   ToHolder(ask.GetFrom()),
		Record: ToMembershipRecord(ask.GetRecord()),
	}
}

// FromAckReply maps the answer to a joiner.
func FromAckReply(reply lacemember.AckReply) *AcknowledgeReply {
	return &AcknowledgeReply{
		From:     FromHolder(reply.From),
		Given:    reply.Acknowledged,
		Epoch:    uint64(reply.Epoch),
		Bindings: mapped(reply.Bindings, FromBinding),
	}
}

// ToAckReply maps a message to the answer to a joiner.
func ToAckReply(reply *AcknowledgeReply) lacemember.AckReply {
	return lacemember.AckReply{
		From:         ToHolder(reply.GetFrom()),
		Acknowledged: reply.GetGiven(),
		Epoch:        laceunit.Epoch(reply.GetEpoch()),
		Bindings:     mapped(reply.GetBindings(), ToBinding),
	}
}
