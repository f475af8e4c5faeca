// Package hashring implements a consistent-hash ring.
//
// A key maps to the members that follow it on the ring; adding or removing a member
// remaps only its own share of the keys. A lookup is logarithmic in the number of
// points.
package hashring

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// pointsPerMember is the number of virtual nodes of a member.
const pointsPerMember = 40

// Ring is immutable and safe for concurrent use.
type Ring[T any] struct {
	points  []point
	members []T
}

// point is one virtual node; member is an index into Ring.members.
type point struct {
	hash   uint64
	member int
}

// New returns a ring of members, placed by the hash of their names.
func New[T any](members []T, name func(T) string) *Ring[T] {
	r := &Ring[T]{members: members, points: make([]point, 0, len(members)*pointsPerMember)}
	for i, m := range members {
		for n := range pointsPerMember {
			h := xxhash.Sum64String(name(m) + "#" + strconv.Itoa(n))
			r.points = append(r.points, point{hash: h, member: i})
		}
	}
	slices.SortFunc(r.points, func(a, b point) int {
		if a.hash < b.hash {
			return -1
		}
		return 1
	})
	return r
}

// Members returns all members. The caller must not modify the slice.
func (r *Ring[T]) Members() []T { return r.members }

// Walk visits the distinct members that follow a key, at most n and at most 8, until
// visit returns false.
func (r *Ring[T]) Walk(key uint64, n int, visit func(T) bool) {
	if len(r.points) == 0 {
		return
	}
	start, _ := slices.BinarySearchFunc(r.points, key, func(p point, k uint64) int {
		if p.hash < k {
			return -1
		}
		return 1
	})
	var seen [8]int
	visited := 0
	n = min(n, len(r.members), len(seen))
	for i := range r.points {
		if visited == n {
			return
		}
		m := r.points[(start+i)%len(r.points)].member
		if slices.Contains(seen[:visited], m) {
			continue
		}
		seen[visited] = m
		visited++
		if !visit(r.members[m]) {
			return
		}
	}
}
