package lacestream

import (
	"cmp"
	"slices"
	"time"

	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/laceunit"
)

// removalTolerance is by how much instances may differ in when they saw the last server of a version leave.
const removalTolerance = 10 * time.Second

// versions are the software versions of each service that are in service, or were so recently that clients may still
// take up their streams.
type versions struct {
	// serving are those of the registered servers.
	serving map[ServiceVersion]bool
	// recorded are those in the store.
	recorded map[ServiceVersion]recordedVersion
	// acknowledged are those whose record the store has acknowledged and that are not in recorded yet.
	acknowledged map[ServiceVersion]bool
	// lost are those whose record was removed too early, as by the restoration of the store from a backup.
	lost map[ServiceVersion]bool
}

// recordedVersion is the record of a version in the store.
type recordedVersion struct {
	revision laceplatform.Revision
	era      laceplatform.Era
	// absentSince is when the version was first seen without a server; zero while it has one.
	absentSince time.Time
}

// record adds or replaces the record of a version.
func (v *versions) record(x ServiceVersion, r recordedVersion) {
	r.absentSince = v.recorded[x].absentSince
	v.recorded[x] = r
	delete(v.acknowledged, x)
	delete(v.lost, x)
}

// remove drops the record of a version.
func (v *versions) remove(now time.Time, x ServiceVersion) {
	r, ok := v.recorded[x]
	if ok && (r.absentSince.IsZero() || now.Sub(r.absentSince) < memory-removalTolerance) {
		v.lost[x] = true
	}
	delete(v.recorded, x)
	delete(v.acknowledged, x)
}

// has reports whether the store is known to have the record of a version.
func (v *versions) has(x ServiceVersion) bool {
	_, ok := v.recorded[x]
	return ok || v.acknowledged[x]
}

// of returns the versions of a service.
func (v *versions) of(service laceunit.ServiceID) []laceunit.SoftwareVersion {
	var list []laceunit.SoftwareVersion
	for x := range v.serving {
		if x.Service == service {
			list = append(list, x.Version)
		}
	}
	for x := range v.recorded {
		if x.Service == service && !v.serving[x] {
			list = append(list, x.Version)
		}
	}
	return list
}

// several returns the services with more than one version.
func (v *versions) several() map[laceunit.ServiceID]bool {
	seen := map[laceunit.ServiceID]laceunit.SoftwareVersion{}
	services := map[laceunit.ServiceID]bool{}
	add := func(x ServiceVersion) {
		if other, ok := seen[x.Service]; ok && other != x.Version {
			services[x.Service] = true
		}
		seen[x.Service] = x.Version
	}
	for x := range v.serving {
		add(x)
	}
	for x := range v.recorded {
		add(x)
	}
	return services
}

// observeAbsence records which recorded versions have no server.
func (v *versions) observeAbsence(now time.Time) {
	for x, r := range v.recorded {
		switch {
		case v.serving[x]:
			r.absentSince = time.Time{}
		case r.absentSince.IsZero():
			r.absentSince = now
		}
		v.recorded[x] = r
	}
}

// missing returns the versions that the store has no record of, in service or lost.
func (v *versions) missing() []ServiceVersion {
	var list []ServiceVersion
	for x := range v.serving {
		if _, ok := v.recorded[x]; !ok {
			list = append(list, x)
		}
	}
	for x := range v.lost {
		if !v.serving[x] {
			list = append(list, x)
		}
	}
	return sorted(list)
}

// unconfirmed returns the records that were not confirmed since the store was restored.
func (v *versions) unconfirmed(era laceplatform.Era) []ServiceVersion {
	var list []ServiceVersion
	for x, r := range v.recorded {
		if r.era < era {
			list = append(list, x)
		}
	}
	return sorted(list)
}

// outdated returns the records of versions whose streams can't be taken up any more.
func (v *versions) outdated(now time.Time) []ServiceVersion {
	var list []ServiceVersion
	for x, r := range v.recorded {
		if !r.absentSince.IsZero() && now.Sub(r.absentSince) >= memory {
			list = append(list, x)
		}
	}
	return sorted(list)
}

func sorted(list []ServiceVersion) []ServiceVersion {
	slices.SortFunc(list, func(a, b ServiceVersion) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Version, b.Version))
	})
	return list
}
