// Command loadgen is described in the README.
package main

func main() {}
