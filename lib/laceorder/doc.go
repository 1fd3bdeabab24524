// Package laceorder sends administrative orders to engines: load or unload a model, load an adapter, change a model's
// version or the engine's role.
//
// Only the instance that holds a lease in the platform's store may send orders; the revision of the lease's key is the
// fencing token. LeaseState and Planner make the decisions and take the time as an argument. Service runs them against
// the store and the engines.
package laceorder
