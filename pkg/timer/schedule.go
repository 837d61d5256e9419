package timer

// schedule is a heap of subscriptions by due time.
type schedule []*Subscription

func (s schedule) Len() int           { return len(s) }
func (s schedule) Less(i, j int) bool { return s[i].at.Before(s[j].at) }

func (s schedule) Swap(i, j int) {
	s[i], s[j] = s[j], s[i]
	s[i].index = i
	s[j].index = j
}

func (s *schedule) Push(x any) {
	sub := x.(*Subscription) // The heap holds nothing else.
	sub.index = len(*s)
	*s = append(*s, sub)
}

func (s *schedule) Pop() any {
	old := *s
	last := old[len(old)-1]
	last.index = -1
	*s = old[:len(old)-1]
	return last
}
