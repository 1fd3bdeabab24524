// Package lacequarantine finds prompt parts that crash backend servers, and keeps requests with such parts away from
// them.
package lacequarantine
