//! Numbers of requests by class.

/// Numbers of requests by class; parts of requests where they are means or credit.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClassCounts {
    by_class: Vec<f64>,
}

impl ClassCounts {
    /// How many there are of one class.
    pub(crate) fn of(&self, class: usize) -> f64 {
        self.by_class.get(class).copied().unwrap_or(0.0)
    }

    /// How many there are of all classes.
    pub(crate) fn total(&self) -> f64 {
        self.by_class.iter().sum()
    }

    /// Adds this many requests of one class.
    pub(crate) fn add(&mut self, class: usize, count: f64) {
        self.extend_to(class + 1);
        self.by_class[class] += count;
    }

    /// Adds a part of all that another one has.
    pub(crate) fn add_part(&mut self, other: &ClassCounts, part: f64) {
        self.extend_to(other.by_class.len());
        for (count, added) in self.by_class.iter_mut().zip(&other.by_class) {
            *count += part * added;
        }
    }

    /// Moves towards another one by this part of the difference.
    pub(crate) fn follow(&mut self, target: &ClassCounts, gain: f64) {
        self.by_class.iter_mut().for_each(|count| *count *= 1.0 - gain);
        self.add_part(target, gain);
    }

    /// Leaves no more than this of each class.
    pub(crate) fn limit(&mut self, most: f64) {
        self.by_class.iter_mut().for_each(|count| *count = count.min(most));
    }

    pub(crate) fn clear(&mut self) {
        self.by_class.fill(0.0);
    }

    fn extend_to(&mut self, classes: usize) {
        if self.by_class.len() < classes {
            self.by_class.resize(classes, 0.0);
        }
    }
}
