// stand3 plays the cases of the third review against nodes of the system: stand3 CASE ROOT FOLDER.
// It exits with 1 if a rule was broken, 0 if it held and 2 if the case couldn't run.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// limit is the time after which a case is given up, all processes included.
const limit = 110 * time.Second

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 4 {
		fmt.Println("usage: stand3 CASE ROOT FOLDER")
		return 2
	}
	cases := map[string]func(*bench) (bool, error){"escaped": escapedCheckpoints, "many": manyCheckpoints, "wave": wave, "schedules": schedules}
	f := cases[os.Args[1]]
	if f == nil {
		fmt.Println("no such case: " + os.Args[1])
		return 2
	}
	rec, err := newRecord(filepath.Join(os.Args[3], "record.txt"))
	if err != nil {
		fmt.Println(err)
		return 2
	}
	folder, err := os.MkdirTemp("", "stand3-")
	if err != nil {
		rec.say("%v", err)
		return 2
	}
	defer func() {
		if os.Getenv("KEEP") == "" {
			os.RemoveAll(folder)
		}
	}()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	b := &bench{ctx: ctx, root: os.Args[2], folder: folder, rec: rec, w: newWorld(rec), trouble: os.Getenv("TROUBLE") != "0"}
	defer func() {
		if b.c != nil {
			b.c.stop()
		}
	}()
	broken, err := f(b)
	switch {
	case err != nil:
		rec.say("the case couldn't run: %v", err)
		return 2
	case broken:
		rec.say("result: the rule was broken")
		return 1
	}
	rec.say("result: the rule held")
	return 0
}

// bench is one play of a case.
type bench struct {
	ctx          context.Context
	root, folder string
	rec          *record
	w            *world
	c            *cluster
	trouble      bool
}

// begin starts the system and the minions, and waits until the first manifest is accepted.
func (b *bench) begin(disks, plain int, minions []*minion) error {
	w := b.w
	w.minions = minions
	for _, m := range minions {
		m.w = w
	}
	address, err := w.serveCloud(b.ctx)
	if err != nil {
		return err
	}
	if b.c, err = startCluster(b.root, b.folder, b.rec, disks, plain, address, ""); err != nil {
		return err
	}
	w.nodes = b.c.controls()
	if status := w.configure(w.nodes, 1, prefix, service, 20*time.Second); status/100 != 2 {
		return fmt.Errorf("the first manifest was not accepted: %d", status)
	}
	for _, m := range minions {
		m.start(b.ctx)
	}
	// A new dispatcher hears of all minions first.
	time.Sleep(6 * time.Second)
	return nil
}

const (
	prefix  = "/close/"
	service = "closing"
)
