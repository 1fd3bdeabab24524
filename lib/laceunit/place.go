package laceunit

// Address is a host and port, or a base URL where a scheme is required.
type Address string

// Place is where an instance or a backend server runs.
type Place struct {
	Region RegionID
	Zone   ZoneID
}
