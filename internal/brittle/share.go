package brittle

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// minExcess is how many times the median demand a box must have to get more slots than others: demand
// varies from second to second, and the boxes know it as of different times.
const minExcess = 4

// user is a box with demand for a service.
type user struct {
	box       string
	perSecond float64
	// weight is its part of the slots, in any unit; slots is how many it gets.
	weight float64
	slots  int
}

// shareOf returns how many of a server's slots this box may use, and how many boxes use the server.
// The lock must be held.
func (b *Tracker) shareOf(id, service string, slots int) (share, boxes int) {
	users := b.users(service)
	setWeights(users)
	slices.SortFunc(users, func(x, y user) int { return compareHash(id, x.box, y.box) })
	divide(users, slots)
	for _, u := range users {
		if u.slots > 0 {
			boxes++
		}
		if u.box == b.Box {
			share = u.slots
		}
	}
	return share, boxes
}

// users returns the boxes with demand for a service, all live ones while none has reported any.
func (b *Tracker) users(service string) []user {
	own, peers := b.Demand(service)
	var users []user
	if own > 0 {
		users = append(users, user{box: b.Box, perSecond: own})
	}
	for box, perSecond := range peers {
		if perSecond > 0 {
			users = append(users, user{box: box, perSecond: perSecond})
		}
	}
	if len(users) == 0 {
		for _, box := range b.Live() {
			users = append(users, user{box: box, perSecond: 1})
		}
	}
	return users
}

// setWeights gives all boxes the weight 1, but those with a multiple of the usual demand this multiple,
// rounded to a power of two.
func setWeights(users []user) {
	if len(users) == 0 {
		return
	}
	slices.SortFunc(users, func(x, y user) int { return cmp.Compare(x.perSecond, y.perSecond) })
	median := users[(len(users)-1)/2].perSecond
	for i := range users {
		users[i].weight = 1
		if excess := users[i].perSecond / median; excess >= minExcess {
			users[i].weight = math.Exp2(float64(math.Ilogb(excess)))
		}
	}
}

// divide gives each box its part of the slots, rounded down. What is left goes one by one to boxes without
// a slot, in their order, and then to the others. As the order differs between servers, a box that gets no
// slot of one server gets one of another.
func divide(users []user, slots int) {
	total := 0.0
	for _, u := range users {
		total += u.weight
	}
	left := slots
	for i := range users {
		users[i].slots = int(float64(slots) * users[i].weight / total)
		left -= users[i].slots
	}
	give := func(wanting func(u *user) bool) {
		for i := range users {
			if left > 0 && wanting(&users[i]) {
				users[i].slots++
				left--
			}
		}
	}
	give(func(u *user) bool { return u.slots == 0 })
	for left > 0 && len(users) > 0 {
		give(func(*user) bool { return true })
	}
}

func compareHash(id, x, y string) int {
	return cmp.Compare(xxhash.Sum64String(id+"/"+x), xxhash.Sum64String(id+"/"+y))
}
