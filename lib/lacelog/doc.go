// Package lacelog writes the structured lines that explain requests and changes of belief afterwards.
//
// Writing never blocks: lines wait in a bounded buffer and are dropped and counted when it is full. Each event has a
// rate of its own, so that one kind can't crowd out another; lines that are left out are counted in the next one.
package lacelog
