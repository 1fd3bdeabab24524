// Package lacesoak runs the program of the users' platform as processes under a seeded series of faults, and checks its
// promises from what callers and backend servers saw.
package lacesoak
