//go:build review

// Command standins-2 plays the scripts of the second review. It starts the daemons of a small deployment as processes
// and gives them stand-ins of the platform's store, of backend servers and of callers, all on loopback addresses.
package main
