package route

// bandCount is the number of priority bands in which the tokens and the memory of requests at
// a replica are counted: a prompt waits there behind those of its own band and of more urgent
// ones. Replicas distinguish ten priorities. The last band includes all less urgent ones.
const bandCount = 10

// BandTokens counts tokens by priority band; band 0 is the most urgent.
type BandTokens [bandCount]int

// bandOf returns the band of a priority; 0 is the most urgent.
func bandOf(priority int) int { return max(0, min(priority, bandCount-1)) }

// sumUpTo returns how many tokens a prompt of the given band waits behind.
func (b BandTokens) sumUpTo(band int) int {
	n := 0
	for _, tokens := range b[:band+1] {
		n += tokens
	}
	return n
}

// Plus returns the sums by band.
func (b BandTokens) Plus(o BandTokens) BandTokens {
	for i := range b {
		b[i] += o[i]
	}
	return b
}

// Minus returns the differences by band, none below 0.
func (b BandTokens) Minus(o BandTokens) BandTokens {
	for i := range b {
		b[i] = max(0, b[i]-o[i])
	}
	return b
}
