package share

import (
	"cmp"
	"slices"
	"time"
)

// MinRemaining is the minimum remaining time that Divide assumes for a step.
// Without it a step close to its deadline would get almost all streams.
const MinRemaining = 30 * time.Second

// Need is the remaining need of one step.
type Need struct {
	// Samples is the number of samples that are not complete. A step cannot use
	// more streams than that.
	Samples int
	// Tokens is the mean length of the step's samples. Zero means that it has
	// not been measured yet.
	Tokens float64
	// Remaining is the time until the deadline of the step.
	Remaining time.Duration
}

// Divide returns the number of streams for each step. The shares are
// proportional to Samples × Tokens / Remaining, with these exceptions: no step
// gets more streams than it can use, and if there are enough streams, each step
// that can use one gets at least one. No stream is left over while a step can
// use it.
func Divide(streams int, needs []Need) []int {
	weights := weigh(needs)
	shares := make([]int, len(needs))
	order, total := fillOrder(needs, weights)
	remaining := max(streams, 0)
	for n, i := range order {
		later := len(order) - 1 - n
		portion := int(float64(remaining)*weights[i]/max(total, weights[i]) + 0.5)
		portion = max(min(portion, remaining-later), 1)
		shares[i] = min(portion, needs[i].Samples, remaining)
		remaining -= shares[i]
		total -= weights[i]
	}
	return distributeRest(shares, needs, remaining)
}

// fillOrder returns the indexes of the steps with a need, and the sum of their
// weights. The steps are in the order in which they reach their maximum (Samples)
// if all shares grow in proportion to the weights. So each step can get its
// portion of the streams that the previous ones did not use.
func fillOrder(needs []Need, weights []float64) (order []int, total float64) {
	for i, w := range weights {
		if w > 0 {
			order = append(order, i)
			total += w
		}
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(float64(needs[a].Samples)*weights[b], float64(needs[b].Samples)*weights[a])
	})
	return order, total
}

// distributeRest distributes the streams that are left because of rounding.
func distributeRest(shares []int, needs []Need, rest int) []int {
	for i := range shares {
		extra := min(rest, max(needs[i].Samples-shares[i], 0))
		shares[i] += extra
		rest -= extra
	}
	return shares
}

// weigh returns the weights to which the shares are proportional. Steps whose
// mean sample length is unknown are assumed to have the mean of the others.
func weigh(needs []Need) []float64 {
	sum, known := 0.0, 0
	for _, n := range needs {
		if n.Tokens > 0 {
			sum += n.Tokens
			known++
		}
	}
	mean := 1.0
	if known > 0 {
		mean = sum / float64(known)
	}
	weights := make([]float64, len(needs))
	for i, n := range needs {
		tokens := n.Tokens
		if tokens <= 0 {
			tokens = mean
		}
		weights[i] = float64(max(n.Samples, 0)) * tokens / max(n.Remaining, MinRemaining).Seconds()
	}
	return weights
}
