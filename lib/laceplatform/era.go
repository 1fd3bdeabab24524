package laceplatform

import "github.com/pkg/errors"

// ErrRange means that a store sent a number that no revision, lease or era can have.
var ErrRange = errors.New("platform: number is out of range")

// Era counts how often a store has been restored from a backup. Revisions and lease ids that were given out after that
// backup are given out again in the next era, so that they identify something only together with their era. It is zero
// for stores that do not tell their era.
type Era int64

const (
	// numberBits is the width of a number within an era; the era takes the bits above it.
	numberBits = 44
	maxNumber  = 1<<numberBits - 1
	maxEra     = 1<<(63-numberBits) - 1
)

// Valid reports whether the era can be part of a revision.
func (e Era) Valid() bool { return e >= 0 && e <= maxEra }

// join returns a number of an era as one value that orders by the era first. Zero stays zero in every era.
func join(era Era, number int64) (int64, error) {
	if number < 0 || number > maxNumber || !era.Valid() {
		return 0, errors.Wrapf(ErrRange, "%d in era %d", number, era)
	}
	if number == 0 {
		return 0, nil
	}
	return int64(era)<<numberBits | number, nil
}

// NewRevision returns the revision with a number in an era.
func NewRevision(era Era, number int64) (Revision, error) {
	joined, err := join(era, number)
	return Revision(joined), err
}

// Era returns the era in which the revision was given out.
func (r Revision) Era() Era { return Era(r >> numberBits) }

// Number returns the revision as the store numbers it within its era.
func (r Revision) Number() int64 { return int64(r) & maxNumber }

// NewLeaseID returns the id of a lease with a number in an era.
func NewLeaseID(era Era, number int64) (LeaseID, error) {
	joined, err := join(era, number)
	return LeaseID(joined), err
}

// Era returns the era in which the lease was granted.
func (l LeaseID) Era() Era { return Era(l >> numberBits) }

// Number returns the lease id as the store numbers it within its era.
func (l LeaseID) Number() int64 { return int64(l) & maxNumber }
