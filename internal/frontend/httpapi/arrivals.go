package httpapi

import "time"

// arrivals record when the bytes of a connection came that are not consumed yet.
type arrivals []arrival

type arrival struct {
	upTo int64 // offset in the stream, behind the last byte
	at   time.Duration
}

// maxArrivals bounds what is kept of a client that writes in many pieces.
const maxArrivals = 32

// record takes note that all bytes up to an offset have come by now.
func (a *arrivals) record(upTo int64, now time.Duration) {
	n := len(*a)
	switch {
	case n > 0 && (*a)[n-1].upTo >= upTo: // nothing new
	case n == maxArrivals: // as if the latest had come with those before it: no request's time is stretched
		(*a)[n-1].upTo = upTo
	default:
		*a = append(*a, arrival{upTo, now})
	}
}

// timeOf is when the byte before an offset came, which is consumed now with all bytes before it.
func (a *arrivals) timeOf(offset int64) (at time.Duration) {
	for len(*a) > 0 {
		first := (*a)[0]
		at = first.at
		if first.upTo > offset {
			return at
		}
		*a = (*a)[1:]
		if first.upTo == offset {
			return at
		}
	}
	return at
}
