package laceresource

// Limits bound what the clients of some listeners hold together. A zero means that the resource is not bounded.
type Limits struct {
	// Bytes bounds all memory. LargeBytes is the part of it that clients may fill that hold more than OrdinaryBytes each;
	// the rest always remains for ordinary requests.
	Bytes         int64
	LargeBytes    int64
	OrdinaryBytes int64
	Connections   int
}

const (
	bytesPerMegabyte = 1e6
	// clientShare and peerShare are the parts of a machine's memory that clients and other instances may hold. The rest
	// is for the process itself, which takes 20 MB to 40 MB, for garbage and for what can't be counted.
	clientShare = 0.4
	peerShare   = 0.08
	// runtimeShare is the part of the memory that the Go runtime may use. The program's text and the memory of the
	// kernel for its sockets come on top.
	runtimeShare = 0.8
	// largeShare is the part of the memory for clients that large requests may fill, connectionShare the part that
	// connections without a request may fill.
	largeShare      = 0.75
	connectionShare = 0.6
	// ordinaryBytes is what an ordinary request may hold beside its connection: a head of 40 lines takes 24 KB, its body
	// is charged with its size, which is 12 KB for the largest kind of the users.
	ordinaryBytes = 96 << 10
	// reservedDescriptors are left for files, listeners and the runtime.
	reservedDescriptors = 200
	// clientDescriptors and peerDescriptors are the parts of the remaining descriptors for connections of clients and of
	// other instances. The rest is for connections to backend servers, the store and other instances.
	clientDescriptors = 0.5
	peerDescriptors   = 0.125
	// minConnections keeps an instance usable whatever its settings are.
	minConnections = 16
)

// ConnectionBytes is the memory of an open connection: the stack of its goroutine, its buffers, and a head of
// HeadAllowance. 900 connections that had sent a part of a request took 18 MB.
const ConnectionBytes = 28 << 10

// HeadAllowance is the memory of a head that is included in ConnectionBytes.
const HeadAllowance = 8 << 10

// ForMachine returns the limits of clients and of other instances for a machine. Zero memory or descriptors are not
// known and not bounded.
func ForMachine(megabytes float64, descriptors int) (clients, peers Limits) {
	limits := func(share, descriptorShare float64) Limits {
		var l Limits
		if megabytes > 0 {
			l.Bytes = int64(megabytes * bytesPerMegabyte * share)
			l.LargeBytes = int64(float64(l.Bytes) * largeShare)
			l.OrdinaryBytes = ordinaryBytes
			l.Connections = max(int(float64(l.Bytes)*connectionShare/ConnectionBytes), minConnections)
		}
		if descriptors > 0 {
			n := max(int(float64(descriptors-reservedDescriptors)*descriptorShare), minConnections)
			if l.Connections == 0 || n < l.Connections {
				l.Connections = n
			}
		}
		return l
	}
	return limits(clientShare, clientDescriptors), limits(peerShare, peerDescriptors)
}

// RuntimeMemory returns the memory limit of the Go runtime in bytes; zero means that there is none.
func RuntimeMemory(megabytes float64) int64 {
	return int64(megabytes * bytesPerMegabyte * runtimeShare)
}
