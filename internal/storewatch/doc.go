// Package storewatch keeps a copy of the contents of the metadata store: the configuration
// document, the entries of the backend servers, and the cordons.
//
// A Watcher reads each once and then follows it with one watch. After a failure it reads all of
// them again, as entries may have lapsed meanwhile. It reports whether the store is reachable, and
// never delivers an older state after a newer one.
package storewatch
