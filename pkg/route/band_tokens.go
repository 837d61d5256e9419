package route

// bands are how many ranks of urgency are told apart in what waits at a replica: a
// prompt waits there behind those that are as urgent as it is, or more. Less urgent
// ones than those of the last band count as of that.
const bands = 4

// BandTokens are tokens by urgency, those of the most urgent prompts first.
type BandTokens [bands]int

// bandOf is the band of a priority, of which 0 is the most urgent.
func bandOf(priority int) int { return max(0, min(priority, bands-1)) }

// upTo is how many tokens a prompt of a band waits behind.
func (b BandTokens) upTo(band int) int {
	n := 0
	for _, tokens := range b[:band+1] {
		n += tokens
	}
	return n
}

// Plus is the sum of two.
func (b BandTokens) Plus(o BandTokens) BandTokens {
	for i := range b {
		b[i] += o[i]
	}
	return b
}

// Minus takes away what another has; nothing becomes less than none.
func (b BandTokens) Minus(o BandTokens) BandTokens {
	for i := range b {
		b[i] = max(0, b[i]-o[i])
	}
	return b
}
