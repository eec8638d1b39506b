//! The choice between candidates.

units::value! {
    /// How far away a candidate is.
    pub enum Tier {
        /// In the same failure domain.
        Domain,
        /// In another failure domain of the same region.
        Region,
        /// In another region.
        Remote,
    }
}

/// What the choice needs to know of one node.
#[derive(Debug, Clone, Copy)]
pub struct Candidate {
    /// How far away it is.
    pub tier: Tier,
    /// Load as a share of its limit.
    pub score: f64,
    /// It is known to have no room.
    pub full: bool,
    /// It failed lately or is suspected to be dead.
    pub shunned: bool,
    /// The request was sent there before.
    pub tried: bool,
}

/// Picks a candidate; `remote` says whether the byte budget allows another region, `random` gives the two choices.
/// One that was tried is picked again only if there is no other, however badly that one did lately.
pub fn choose(
    candidates: &[Candidate],
    remote: bool,
    mut random: impl FnMut(usize) -> usize,
) -> Option<usize> {
    let untried = |candidate: &Candidate| !candidate.tried;
    choose_among(candidates, &untried, remote, &mut random)
        .or_else(|| choose_among(candidates, &|_| true, remote, &mut random))
}

fn choose_among(
    candidates: &[Candidate],
    wanted: &impl Fn(&Candidate) -> bool,
    remote: bool,
    random: &mut impl FnMut(usize) -> usize,
) -> Option<usize> {
    let tiers = [Tier::Domain, Tier::Region, Tier::Remote];
    let allowed = |tier: Tier| tier != Tier::Remote || remote;
    let mut fallback = None;
    for shunned in [false, true] {
        for tier in tiers.into_iter().filter(|tier| allowed(*tier)) {
            let in_tier = |candidate: &Candidate| {
                candidate.tier == tier && candidate.shunned == shunned && wanted(candidate)
            };
            let Some(best) = best_of_two(candidates, &in_tier, random) else { continue };
            if !candidates[best].full {
                return Some(best);
            }
            let roomy = |candidate: &Candidate| in_tier(candidate) && !candidate.full;
            if let Some(best) = best_of_two(candidates, &roomy, random) {
                return Some(best);
            }
            fallback = fallback.or(Some(best));
        }
        if fallback.is_some() {
            return fallback;
        }
    }
    fallback
}

fn best_of_two(
    candidates: &[Candidate],
    wanted: &impl Fn(&Candidate) -> bool,
    random: &mut impl FnMut(usize) -> usize,
) -> Option<usize> {
    let count = candidates.iter().filter(|candidate| wanted(candidate)).count();
    if count == 0 {
        return None;
    }
    let nth = |n: usize| (0..candidates.len()).filter(|index| wanted(&candidates[*index])).nth(n);
    let first = nth(random(count))?;
    if count == 1 {
        return Some(first);
    }
    let second = nth(random(count))?;
    let better = candidates[second].score < candidates[first].score;
    Some(if better { second } else { first })
}
