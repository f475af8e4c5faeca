// Package storewatch keeps a copy of what the metadata store holds: the
// configuration document and the entries of the backend servers.
//
// A Watcher reads both once and then follows them with one watch each. After a
// failure it reads both anew, as entries may have lapsed meanwhile. It says
// whether the store can be reached, and never delivers an older state after a
// newer one.
package storewatch
