package simulation

import (
	"container/heap"
	"time"
)

// A task is a function that is called at a virtual time.
type task struct {
	at time.Duration
	// sequence keeps tasks with the same time in the order in which they were added.
	sequence int
	run      func()
}

// A taskQueue is a heap of tasks with the next one at the root. Its methods
// implement heap.Interface.
type taskQueue []task

// Len returns the number of tasks.
func (q taskQueue) Len() int { return len(q) }

// Less orders tasks by time and sequence.
func (q taskQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].sequence < q[j].sequence)
}

// Swap swaps two tasks.
func (q taskQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push appends a task.
func (q *taskQueue) Push(x any) {
	if t, ok := x.(task); ok {
		*q = append(*q, t)
	}
}

// Pop removes and returns the last task.
func (q *taskQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// A scheduler runs tasks in the order of their virtual times.
type scheduler struct {
	now   time.Duration
	tasks taskQueue
	// added counts the tasks that were ever added.
	added int
}

// after schedules a function at a delay from now.
func (s *scheduler) after(delay time.Duration, run func()) {
	s.added++
	heap.Push(&s.tasks, task{at: s.now + delay, sequence: s.added, run: run})
}

// run runs tasks until none is left.
func (s *scheduler) run() {
	for len(s.tasks) > 0 {
		next, ok := heap.Pop(&s.tasks).(task)
		if !ok {
			return
		}
		s.now = next.at
		next.run()
	}
}
