//! Which orders to instances earlier leaders may have given so recently that a new leader has to
//! wait. Each order has a number, and is sent once the number is persisted. The leader persists
//! from time to time up to which number all orders are older than the lease of an instance, by its
//! own clock, so that no clocks of two machines are compared.

use std::collections::{BTreeMap, HashMap};

use smol_str::SmolStr;

use crate::jobs::engine::Engine;
use crate::jobs::orders::{Action, InstanceOrder};
use crate::jobs::record::{OrdersRecord, Record};
use crate::logging::Event;

/// Shortest time between two records of the settled orders, in milliseconds.
const SETTLED_RECORD_MS: u64 = 1_000;

/// An order that is sent once its number is persisted.
#[derive(Debug)]
struct HeldOrder {
    number: u64,
    /// Batch of records that holds the number.
    batch: u64,
    order: InstanceOrder,
}

/// Numbers of orders.
#[derive(Debug, Default)]
pub(crate) struct OrderNumbers {
    /// Number of the last order to each instance.
    last: HashMap<SmolStr, u64>,
    newest: u64,
    /// Times of the last sending of this leader's orders that are not settled yet, by number.
    sent: BTreeMap<u64, u64>,
    /// Number up to which this leader's orders are older than the lease of an instance.
    settled: u64,
    /// Newest record of an earlier leader.
    restored: Option<OrdersRecord>,
    recorded: Option<OrdersRecord>,
    next_record_ms: u64,
    /// Orders whose numbers are not persisted yet.
    held: Vec<HeldOrder>,
}

impl OrderNumbers {
    /// Restores the number of the last order to an instance.
    pub(crate) fn restore_last(&mut self, instance: SmolStr, number: u64) {
        self.newest = self.newest.max(number);
        self.last.insert(instance, number);
    }

    /// Restores the record of the settled orders.
    pub(crate) fn restore_settled(&mut self, record: OrdersRecord) {
        self.newest = self.newest.max(record.settled);
        self.settled = record.settled;
        self.restored = Some(record);
    }

    /// Returns whether the leader before `fence` persisted the numbers of all recent orders.
    fn is_complete(&self, fence: u64) -> bool {
        let restored = self.restored.as_ref();
        restored.is_some_and(|record| record.is_complete && record.fence + 1 == fence)
    }

    /// Returns whether the leader with this fence knows that no earlier leader has given an order
    /// to an instance within its lease.
    pub(crate) fn is_settled(&self, instance: &SmolStr, fence: u64) -> bool {
        let settled = self.restored.as_ref().map_or(0, |record| record.settled);
        let last = self.last.get(instance);
        self.is_complete(fence) && last.is_none_or(|number| *number <= settled)
    }

    /// Assigns a number to an order that is sent once `batch` is persisted.
    fn hold(&mut self, order: InstanceOrder, batch: u64) -> u64 {
        self.newest += 1;
        self.last.insert(order.instance().clone(), self.newest);
        self.sent.insert(self.newest, u64::MAX);
        self.held.push(HeldOrder {
            number: self.newest,
            batch,
            order,
        });
        self.newest
    }

    fn record_sending(&mut self, instance: &SmolStr, now_ms: u64) {
        if let Some(number) = self.last.get(instance) {
            self.sent.insert(*number, now_ms);
        }
    }

    /// Counts the orders as settled whose last sending, and that of all before them, is at least
    /// `lease_ms` ago.
    fn settle(&mut self, now_ms: u64, lease_ms: u64) {
        while let Some((number, sent_ms)) = self.sent.first_key_value() {
            if sent_ms.saturating_add(lease_ms) > now_ms {
                return;
            }
            self.settled = self.settled.max(*number);
            self.sent.pop_first();
        }
    }
}

impl Engine {
    /// Persists the number of an order, and that nothing runs on the instance's worker; the order
    /// is sent afterwards. A later leader then need not wait for that worker.
    pub(crate) fn hold_instance_order(&mut self, order: InstanceOrder) {
        let instance = order.instance().clone();
        if let Some(key) = self.worker_of(&instance) {
            let worker = self.worker(key);
            if worker.is_persisted && worker.is_cordoned && worker.slots.is_empty() {
                self.forget_worker(key);
            }
        }
        let batch = self.next_batch_number();
        let number = self.order_numbers.hold(order, batch);
        self.persist(Record::Order(instance, number));
    }

    /// Sends the orders whose numbers are persisted with the batches up to `batch`.
    pub(crate) fn send_held_orders(&mut self, batch: u64) {
        let now_ms = self.now_ms;
        let held = std::mem::take(&mut self.order_numbers.held);
        let (due, later): (Vec<_>, Vec<_>) = held.into_iter().partition(|held| held.batch <= batch);
        self.order_numbers.held = later;
        for held in due {
            // The instance may be gone from the list, and its last number with it.
            self.order_numbers.sent.insert(held.number, now_ms);
            self.cordon_for(&held.order);
            self.send_order(held.order);
        }
    }

    /// Keeps tasks off the worker of an order's instance, which may have been listed since the order
    /// was decided.
    fn cordon_for(&mut self, order: &InstanceOrder) {
        let Some(key) = self.worker_of(order.instance()) else {
            return;
        };
        if !self.worker(key).slots.is_empty() {
            return;
        }
        self.worker_mut(key).is_cordoned = true;
        if let Some(row) = self.instances.rows.get_mut(order.instance()) {
            row.ordered_worker = Some(key);
        }
    }

    /// Sends an order, for the first time or again, unless its instance has work by now: a worker
    /// that was not listed when the order was decided may have got tasks since.
    pub(crate) fn send_order(&mut self, order: InstanceOrder) {
        let worker = self.worker_of(order.instance());
        let is_busy = worker.is_some_and(|key| !self.worker(key).slots.is_empty());
        self.record_order_sending(&order);
        if !is_busy {
            self.actions.push(Action::Instance(order));
            return;
        }
        Event::new("instance_order_dropped")
            .with("instance", order.instance())
            .info();
        let Some(row) = self.instances.rows.get_mut(order.instance()) else {
            return;
        };
        row.order = None;
        if let Some(key) = row.ordered_worker.take() {
            self.reopen_worker(key);
        }
    }

    /// Records that an order is sent, for the first time or again.
    fn record_order_sending(&mut self, order: &InstanceOrder) {
        let now_ms = self.now_ms;
        self.order_numbers.record_sending(order.instance(), now_ms);
        if let Some(row) = self.instances.rows.get_mut(order.instance()) {
            if let Some((_, given_ms)) = &mut row.order {
                *given_ms = now_ms;
            }
        }
    }

    /// Persists which orders are settled, if that has changed and a record is due.
    pub(crate) fn review_order_numbers(&mut self) {
        let (now_ms, lease_ms) = (self.now_ms, self.settings.instance_lease_ms);
        self.order_numbers.settle(now_ms, lease_ms);
        if now_ms < self.order_numbers.next_record_ms {
            return;
        }
        let fence = self.settings.fence;
        let record = OrdersRecord {
            fence,
            settled: self.order_numbers.settled,
            is_complete: self.order_numbers.is_complete(fence)
                || now_ms >= self.opened_ms + self.settings.earlier_orders_wait_ms,
        };
        if self.order_numbers.recorded.as_ref() == Some(&record) {
            return;
        }
        self.order_numbers.next_record_ms = now_ms + SETTLED_RECORD_MS;
        self.order_numbers.recorded = Some(record.clone());
        self.persist(Record::Orders(record));
    }

    /// Forgets the orders to instances that are no longer listed.
    pub(crate) fn forget_orders_of_removed_instances(&mut self) {
        let rows = &self.instances.rows;
        let last = &self.order_numbers.last;
        let gone: Vec<SmolStr> = last
            .keys()
            .filter(|name| !rows.contains_key(*name))
            .cloned()
            .collect();
        for name in gone {
            self.order_numbers.last.remove(&name);
            self.persist(Record::ForgetOrder(name));
        }
    }
}
