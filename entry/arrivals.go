package entry

import (
	"math"
	"math/rand/v2"
	"time"
)

// An Arrival is one request of an open-loop load.
type Arrival struct {
	// Offset is the time since the start of the load.
	Offset time.Duration
	// ExecutionTime is how long an upstream runs the request.
	ExecutionTime time.Duration
	// StreamIndex is the index of the load's stream that the request belongs to.
	StreamIndex int
}

// A Stream is a part of a load with one rate, for example the requests of one
// region to one service.
type Stream struct {
	// RequestsPerSecond is in requests per second.
	RequestsPerSecond float64
	// MeanExecutionTime is the mean time that an upstream runs a request.
	MeanExecutionTime time.Duration
	// LogStdDev is the standard deviation of the logarithm of the work. 0 means
	// that every request takes the mean.
	LogStdDev float64
}

// NewArrivals draws Poisson arrivals with log-normal work for the given
// streams, in order of time. The same seed gives the same arrivals.
func NewArrivals(seed uint64, length time.Duration, streams []Stream) []Arrival {
	random := rand.New(rand.NewPCG(seed, 1))
	total := 0.0
	for _, stream := range streams {
		total += stream.RequestsPerSecond
	}
	if total <= 0 {
		return nil
	}
	var arrivals []Arrival
	at := 0.0
	for {
		at += random.ExpFloat64() / total
		if at >= length.Seconds() {
			return arrivals
		}
		index := pickStream(random.Float64()*total, streams)
		arrivals = append(arrivals, Arrival{
			Offset:        time.Duration(at * float64(time.Second)),
			ExecutionTime: drawWork(random, streams[index]),
			StreamIndex:   index,
		})
	}
}

// pickStream returns the stream at a point of the summed rates.
func pickStream(point float64, streams []Stream) int {
	for i, stream := range streams {
		point -= stream.RequestsPerSecond
		if point < 0 {
			return i
		}
	}
	return len(streams) - 1
}

// drawWork draws the work of one request. The mean of a log-normal variable is
// exp(mu + sigma^2/2).
func drawWork(random *rand.Rand, stream Stream) time.Duration {
	sigma := stream.LogStdDev
	mu := math.Log(stream.MeanExecutionTime.Seconds()) - sigma*sigma/2
	return time.Duration(math.Exp(mu+sigma*random.NormFloat64()) * float64(time.Second))
}
