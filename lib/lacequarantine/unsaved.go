package lacequarantine

import (
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/laceunit"
)

const (
	// passOnAge is how long a record of another instance that is not in the store yet is passed on to further ones.
	passOnAge = 15 * time.Second
	// maxPassedOn bounds how many of them are.
	maxPassedOn = 32
)

// Record is a record that could not be written to the store yet. Instances pass such records on to each other, since an
// outage of the store would otherwise leave each of them with the crashes that it observes itself.
type Record struct {
	Key   laceplatform.Key
	Value []byte
	// Version grows with each change of the record.
	Version int64
}

// passedOn is a record of another instance with the time of its arrival.
type passedOn struct {
	Record
	receivedAt time.Time
}

// Unsaved returns the records that this instance could not write to the store yet, and those that it received from
// others.
func (s *Service) Unsaved() []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	records, err := s.publisher.unsaved()
	if err != nil {
		s.options.Log.Error(err, "records are not passed on to other instances")
	}
	for key, r := range s.received {
		if time.Since(r.receivedAt) > passOnAge {
			delete(s.received, key)
			continue
		}
		records = append(records, r.Record)
	}
	return records
}

// ApplyUnsaved applies a record from another instance.
func (s *Service) ApplyUnsaved(r Record) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if known, ok := s.received[r.Key]; ok && known.Version >= r.Version {
		return nil
	}
	if instance, ok := suffix(r.Key, s.options.Keys.Reports); ok {
		if err := s.applyUnsavedReport(laceunit.InstanceID(instance), r); err != nil {
			return err
		}
	} else if err := s.applyUnsavedVerdict(r); err != nil {
		return err
	}
	if len(s.received) < maxPassedOn {
		s.received[r.Key] = passedOn{
			Record:     r,
			receivedAt: time.Now(),
		}
	}
	return nil
}

func (s *Service) applyUnsavedReport(reporter laceunit.InstanceID, r Record) error {
	crashes, err := DecodeReport(r.Value)
	if err != nil || reporter == s.options.Self {
		return err
	}
	for _, c := range crashes {
		s.tracker.RecordCrash(time.Now(), reporter, c)
	}
	wake(s.crashed)
	return nil
}

func (s *Service) applyUnsavedVerdict(r Record) error {
	id, ok := suffix(r.Key, s.options.Keys.Verdicts)
	if !ok {
		return errors.Wrap(ErrRecord, "key "+string(r.Key))
	}
	v, err := DecodeVerdict(VerdictID(id), r.Value)
	if err != nil {
		return err
	}
	if known, ok := s.enforced[v.ID]; !ok || known.At.Before(v.At) {
		s.apply(v)
	}
	return nil
}

// unsaved returns the records that are to be written.
func (p *publisher) unsaved() ([]Record, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var records []Record
	if p.report != nil {
		value, err := EncodeReport(p.report)
		if err != nil {
			return nil, err
		}
		records = append(records, Record{
			Key:     p.options.Keys.report(p.options.Self),
			Value:   value,
			Version: p.reportVersion,
		})
	}
	for id, v := range p.verdicts {
		value, err := EncodeVerdict(v.verdict)
		if err != nil {
			return nil, err
		}
		records = append(records, Record{
			Key:     p.options.Keys.Verdict(id),
			Value:   value,
			Version: v.verdict.At.UnixMilli(),
		})
	}
	return records, nil
}
