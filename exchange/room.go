package exchange

import (
	"math"

	"rattanline.example/rattanline/clock"
)

// Room is the processor time that a host has left, in steps of 1/64 of a core; zero if it isn't
// known, one if none is left.
type Room uint8

// roomSteps is the number of steps of a core.
const roomSteps = 64

// RoomOf returns the room for the cores that are left.
func RoomOf(cores float64) Room {
	return Room(1 + min(max(math.Floor(cores*roomSteps), 0), math.MaxUint8-1))
}

// Cores returns the cores that are left, and whether they are known.
func (r Room) Cores() (cores float64, known bool) {
	if r == 0 {
		return 0, false
	}
	return float64(r-1) / roomSteps, true
}

// roomsOf returns the rooms of the daemons.
func roomsOf(list []Status) []Room {
	rooms := make([]Room, len(list))
	for i, s := range list {
		rooms[i] = s.Room
	}
	return rooms
}

// updateRooms sets the rooms of the daemons in the last list that the peer sent, and records them
// as contacts.
func (t peerTable) updateRooms(p *Peer, rooms []Room, self string, now clock.Instant) {
	for i := range p.groupDaemons {
		if len(rooms) == len(p.groupDaemons) {
			p.groupDaemons[i].Room = rooms[i]
		}
		t.recordStatus(p.groupDaemons[i], self, now)
	}
}
