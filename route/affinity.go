package route

// ChooseHolder is like Choose, but prefers the least loaded of the holders. The
// holders are the positions of endpoints that are expected to have done part of
// the work already, for example endpoints with a cached prefix of the prompt. A
// holder is skipped if it has no room, or if its utilization exceeds the mean
// utilization of the compared candidates by more than margin. ChooseHolder
// reports whether the chosen endpoint is a holder.
func ChooseHolder(l List, holders []int, margin float64, random func(n int) int) (position int, isHolder bool) {
	d := draw(l, random)
	best := -1
	var bestScore float64
	for _, h := range holders {
		c := l.At(h)
		s := c.score()
		if !c.room() || d.found > 0 && s > d.mean()+margin {
			continue
		}
		if best < 0 || s < bestScore {
			best, bestScore = h, s
		}
	}
	if best >= 0 {
		return best, true
	}
	if d.best >= 0 {
		return d.best, false
	}
	return scan(l, random(max(l.Len(), 1))), false
}
