// Package lacewire holds the protobuf messages between instances and their mapping to domain types.
package lacewire

import (
	"time"

	"lacewingcove/lib/laceconfig"
	"lacewingcove/lib/laceunit"
)

// FromStatus maps a status to its message.
func FromConfigStatus(s laceconfig.Status) *ConfigStatus {
	return &ConfigStatus{
		Instance:    string(s.Sender.Instance),
		Incarnation: uint64(s.Sender.Incarnation),
		Version:     uint64(s.Version),
		Confirmed:   s.Confirmed,
		Age:         int64(s.Staleness),
		Contact:     s.PlatformReachable,
	}
}

// ToStatus maps a message to a status; a missing one is the zero status.
func ToConfigStatus(m *ConfigStatus) laceconfig.Status {
	return laceconfig.Status{
		Sender: laceunit.Holder{
			Instance:    laceunit.InstanceID(m.GetInstance()),
			Incarnation: laceunit.Incarnation(m.GetIncarnation()),
		},
		Version:           laceunit.Version(m.GetVersion()),
		Confirmed:         m.GetConfirmed(),
		Staleness:         time.Duration(m.GetAge()),
		PlatformReachable: m.GetContact(),
	}
}

// FromMessage maps an answer or a notice to its message.
func FromConfigMessage(m laceconfig.Message) *ConfigMessage {
	c := &ConfigMessage{
		Status: FromConfigStatus(m.Status),
	}
	if m.Delta == nil {
		return c
	}
	c.Delta = &ConfigDelta{
		From: uint64(m.Delta.From),
		To:   uint64(m.Delta.To),
		Full: m.Delta.Full,
	}
	for _, i := range m.Delta.Items {
		c.Delta.Items = append(c.Delta.Items, &ConfigItem{
			Section: string(i.Section),
			Entry:   i.Entry,
			Body:    i.Body,
			Version: uint64(i.Version),
		})
	}
	for _, g := range m.Delta.Gaps {
		c.Delta.Gaps = append(c.Delta.Gaps, &ConfigGap{
			After:  uint64(g.After),
			Before: uint64(g.Before),
		})
	}
	return c
}

// ToMessage maps a message to an answer or a notice.
func ToConfigMessage(c *ConfigMessage) laceconfig.Message {
	m := laceconfig.Message{
		Status: ToConfigStatus(c.GetStatus()),
	}
	if c.GetDelta() == nil {
		return m
	}
	m.Delta = &laceconfig.Delta{
		From: laceunit.Version(c.Delta.GetFrom()),
		To:   laceunit.Version(c.Delta.GetTo()),
		Full: c.Delta.GetFull(),
	}
	for _, i := range c.Delta.GetItems() {
		m.Delta.Items = append(m.Delta.Items, laceconfig.Item{
			Section: laceconfig.Section(i.GetSection()),
			Entry:   i.GetEntry(),
			Body:    i.GetBody(),
			Version: laceunit.Version(i.GetVersion()),
		})
	}
	for _, g := range c.Delta.GetGaps() {
		m.Delta.Gaps = append(m.Delta.Gaps, laceconfig.Gap{
			After:  laceunit.Version(g.GetAfter()),
			Before: laceunit.Version(g.GetBefore()),
		})
	}
	return m
}
