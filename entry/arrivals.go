package entry

import (
	"math"
	"math/rand/v2"
	"time"
)

// An Arrival is one request of an open-loop load.
type Arrival struct {
	// Offset is the time of the request, counted from the start of the load.
	Offset time.Duration
	// ExecutionTime is how long an endpoint takes to run the request.
	ExecutionTime time.Duration
	// StreamIndex is the index, in the streams of the load, of the one that the request
	// belongs to.
	StreamIndex int
}

// A Stream is the part of a load that has one rate and one distribution of execution
// times, for example the requests of one region to one service.
type Stream struct {
	// RequestsPerSecond is the mean rate of the Poisson arrivals.
	RequestsPerSecond float64
	// MeanExecutionTime is the mean time that an endpoint takes to run a request.
	MeanExecutionTime time.Duration
	// LogStdDev is the standard deviation of the natural logarithm of the execution
	// time. With 0, every request takes the mean.
	LogStdDev float64
}

// NewArrivals returns random arrivals, in order of time, for a load with the given
// streams and duration. Arrivals form a Poisson process and have log-normal execution
// times. The same seed gives the same arrivals.
func NewArrivals(seed uint64, duration time.Duration, streams []Stream) []Arrival {
	random := rand.New(rand.NewPCG(seed, 1))
	totalRate := 0.0
	for _, stream := range streams {
		totalRate += stream.RequestsPerSecond
	}
	if totalRate <= 0 {
		return nil
	}
	var arrivals []Arrival
	offsetSeconds := 0.0
	for {
		offsetSeconds += random.ExpFloat64() / totalRate
		if offsetSeconds >= duration.Seconds() {
			return arrivals
		}
		index := pickStream(random.Float64()*totalRate, streams)
		arrivals = append(arrivals, Arrival{
			Offset:        time.Duration(offsetSeconds * float64(time.Second)),
			ExecutionTime: drawExecutionTime(random, streams[index]),
			StreamIndex:   index,
		})
	}
}

// pickStream returns the index of the stream at a position in the cumulative rates of
// the streams, so that a uniformly random position picks streams in proportion to their
// rates.
func pickStream(position float64, streams []Stream) int {
	for i, stream := range streams {
		position -= stream.RequestsPerSecond
		if position < 0 {
			return i
		}
	}
	return len(streams) - 1
}

// drawExecutionTime returns a random execution time for one request of the stream. The
// mean of a log-normal variable is exp(mu + sigma^2/2), hence the correction of mu.
func drawExecutionTime(random *rand.Rand, stream Stream) time.Duration {
	sigma := stream.LogStdDev
	mu := math.Log(stream.MeanExecutionTime.Seconds()) - sigma*sigma/2
	return time.Duration(math.Exp(mu+sigma*random.NormFloat64()) * float64(time.Second))
}
