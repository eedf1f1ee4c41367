package httpapi

import "time"

// arrivals tell when the bytes of a connection came that are not consumed yet.
type arrivals []arrival

type arrival struct {
	upTo int64 // place in the stream, behind the last byte
	at   time.Duration
}

// mostArrivals bounds what is kept of a client that writes in many pieces.
const mostArrivals = 32

// note takes that all up to a place has come by now.
func (a *arrivals) note(upTo int64, now time.Duration) {
	n := len(*a)
	switch {
	case n > 0 && (*a)[n-1].upTo >= upTo:
	case n == mostArrivals: // as if the latest had come with those before it: no call's time is stretched
		(*a)[n-1].upTo = upTo
	default:
		*a = append(*a, arrival{upTo, now})
	}
}

// of is when the byte before a place came, which is consumed now with all before it.
func (a *arrivals) of(place int64) (at time.Duration) {
	for len(*a) > 0 {
		one := (*a)[0]
		if at = one.at; one.upTo >= place {
			if one.upTo > place {
				return at
			}
			*a = (*a)[1:]
			return at
		}
		*a = (*a)[1:]
	}
	return at
}
